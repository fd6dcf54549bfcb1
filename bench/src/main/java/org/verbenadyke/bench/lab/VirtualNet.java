package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.wire.FrameCodec;
import org.verbenadyke.wire.GossipCodec;

/**
 * The connections and datagrams of the lab, through the real codecs. Connections keep order; datagrams may be lost,
 * late and out of order.
 */
final class VirtualNet {
    private static final double DATAGRAM_LOSS = 0.01;
    private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000L;

    private final TimerService world;
    private final RandomGenerator random;
    private final Latency latency;
    private final Map<Endpoint, Host> hosts = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private BiPredicate<Endpoint, Endpoint> cut = (a, b) -> false;
    private long bytesOnLinks;
    private long bytesInDatagrams;

    VirtualNet(TimerService world, RandomGenerator random, Latency latency) {
        this.world = world;
        this.random = random;
        this.latency = latency;
    }

    void attach(Endpoint endpoint, Host host) {
        hosts.put(endpoint, host);
    }

    /** Cuts everything between pairs of nodes, until the next call. */
    void partition(BiPredicate<Endpoint, Endpoint> between) {
        cut = between;
    }

    Transport transport(Endpoint from) {
        return (to, handler) -> connect(from, to, handler);
    }

    void datagram(Endpoint from, Endpoint to, GossipMessage message) {
        byte[] bytes = GossipCodec.encode(message);
        bytesInDatagrams += bytes.length;
        if (cut.test(from, to) || random.nextDouble() < DATAGRAM_LOSS) {
            return;
        }
        world.after(latency.draw(from, to), () -> {
            Host host = hosts.get(to);
            if (host != null) {
                host.process().run(() -> host.datagram(from, GossipCodec.decode(bytes)));
            }
        });
    }

    /** Makes some open connections carry nothing any more, while new ones work. */
    int silence(double share) {
        int n = 0;
        for (Connection c : connections) {
            if (c.open && !c.silent && random.nextDouble() < share) {
                c.silent = true;
                n++;
            }
        }
        return n;
    }

    /** Breaks some open connections. */
    int sever(double share) {
        int n = 0;
        for (Connection c : List.copyOf(connections)) {
            if (c.open && random.nextDouble() < share) {
                c.end();
                n++;
            }
        }
        return n;
    }

    /** Ends the connections of a killed process. */
    void drop(Endpoint endpoint) {
        hosts.remove(endpoint);
        for (Connection c : List.copyOf(connections)) {
            if (c.open && (c.from.equals(endpoint) || c.to.equals(endpoint))) {
                c.end();
            }
        }
    }

    long bytesOnLinks() {
        return bytesOnLinks;
    }

    long bytesInDatagrams() {
        return bytesInDatagrams;
    }

    private void connect(Endpoint from, Endpoint to, Transport.Handler opener) {
        NodeTimers process = hosts.get(from).process();
        if (cut.test(from, to)) {
            world.after(CONNECT_TIMEOUT_NANOS, () -> process.run(opener::ended));
            return;
        }
        world.after(2 * latency.draw(from, to), () -> {
            Host host = hosts.get(to);
            if (host == null) {
                process.run(opener::ended);
                return;
            }
            Connection c = new Connection(from, to, process, host.process());
            connections.add(c);
            connections.removeIf(x -> !x.open);
            c.opener = opener;
            c.acceptor = host.accept();
            c.acceptorProcess.run(() -> c.acceptor.opened(c.side(true)));
            c.openerProcess.run(() -> opener.opened(c.side(false)));
        });
    }

    /**
     * A node on the net.
     */
    interface Host {
        NodeTimers process();

        Transport.Handler accept();

        void datagram(Endpoint from, GossipMessage message);
    }

    /**
     * Draws how long a message takes.
     */
    interface Latency {
        long draw(Endpoint from, Endpoint to);
    }

    /**
     * One connection.
     */
    private final class Connection {
        private final Endpoint from;
        private final Endpoint to;
        private final NodeTimers openerProcess;
        private final NodeTimers acceptorProcess;
        private Transport.Handler opener;
        private Transport.Handler acceptor;
        private boolean open = true;
        private boolean silent;
        private long lastToOpener;
        private long lastToAcceptor;

        private Connection(Endpoint from, Endpoint to, NodeTimers openerProcess, NodeTimers acceptorProcess) {
            this.from = from;
            this.to = to;
            this.openerProcess = openerProcess;
            this.acceptorProcess = acceptorProcess;
        }

        Channel side(boolean ofAcceptor) {
            return new Channel() {
                @Override
                public void write(Message message) {
                    send(ofAcceptor, FrameCodec.encode(message));
                }

                @Override
                public void close() {
                    end();
                }
            };
        }

        private void send(boolean toOpener, byte[] frame) {
            bytesOnLinks += frame.length + FrameCodec.LENGTH_BYTES;
            if (!open || silent || cut.test(from, to)) {
                silent |= cut.test(from, to);
                return;
            }
            long due = world.nanos() + latency.draw(from, to);
            due = Math.max(due, toOpener ? lastToOpener : lastToAcceptor);
            if (toOpener) {
                lastToOpener = due;
            } else {
                lastToAcceptor = due;
            }
            world.after(due - world.nanos(), () -> deliver(toOpener, frame));
        }

        private void deliver(boolean toOpener, byte[] frame) {
            if (!open || silent) {
                return;
            }
            NodeTimers process = toOpener ? openerProcess : acceptorProcess;
            Transport.Handler handler = toOpener ? opener : acceptor;
            process.run(() -> handler.received(FrameCodec.decode(frame)));
        }

        private void end() {
            if (!open) {
                return;
            }
            open = false;
            boolean quiet = silent;
            world.after(latency.draw(from, to), () -> {
                openerProcess.run(opener::ended);
                if (!quiet) {
                    acceptorProcess.run(acceptor::ended);
                }
            });
        }
    }
}
