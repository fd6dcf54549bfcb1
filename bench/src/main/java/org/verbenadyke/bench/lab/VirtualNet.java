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
 * An emulated network with connections and datagrams, encoded with the production codecs. Connections keep the order of
 * messages; datagrams may be lost, delayed and reordered.
 */
final class VirtualNet {
    private static final double DATAGRAM_LOSS = 0.01;
    private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000L;

    private final TimerService clock;
    private final RandomGenerator random;
    private final Latency latency;
    private final Map<Endpoint, Host> hosts = new HashMap<>();
    private final List<Connection> connections = new ArrayList<>();
    private BiPredicate<Endpoint, Endpoint> partitioned = (a, b) -> false;
    private long bytesOnLinks;
    private long bytesInDatagrams;

    VirtualNet(TimerService clock, RandomGenerator random, Latency latency) {
        this.clock = clock;
        this.random = random;
        this.latency = latency;
    }

    void attach(Endpoint endpoint, Host host) {
        hosts.put(endpoint, host);
    }

    /** Drops all traffic between the matching pairs of nodes, until the next call of this method. */
    void partition(BiPredicate<Endpoint, Endpoint> between) {
        partitioned = between;
    }

    Transport transport(Endpoint from) {
        return (to, handler) -> connect(from, to, handler);
    }

    void sendDatagram(Endpoint from, Endpoint to, GossipMessage message) {
        byte[] bytes = GossipCodec.encode(message);
        bytesInDatagrams += bytes.length;
        if (partitioned.test(from, to) || random.nextDouble() < DATAGRAM_LOSS) {
            return;
        }
        clock.after(latency.sampleNanos(from, to), () -> {
            Host host = hosts.get(to);
            if (host != null) {
                host.process().run(() -> host.receiveDatagram(from, GossipCodec.decode(bytes)));
            }
        });
    }

    /** Makes a share of the open connections silently drop all data, while new connections work; returns how many. */
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

    /** Breaks a share of the open connections; returns how many. */
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

    /** Removes a killed process and closes its connections. */
    void detach(Endpoint endpoint) {
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
        ProcessTimers process = hosts.get(from).process();
        if (partitioned.test(from, to)) {
            clock.after(CONNECT_TIMEOUT_NANOS, () -> process.run(opener::connectionClosed));
            return;
        }
        clock.after(2 * latency.sampleNanos(from, to), () -> {
            Host host = hosts.get(to);
            if (host == null) {
                process.run(opener::connectionClosed);
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
     * A node that is attached to the network.
     */
    interface Host {
        ProcessTimers process();

        Transport.Handler accept();

        void receiveDatagram(Endpoint from, GossipMessage message);
    }

    /**
     * Draws the random latency of a message.
     */
    interface Latency {
        long sampleNanos(Endpoint from, Endpoint to);
    }

    /**
     * One connection.
     */
    private final class Connection {
        private final Endpoint from;
        private final Endpoint to;
        private final ProcessTimers openerProcess;
        private final ProcessTimers acceptorProcess;
        private Transport.Handler opener;
        private Transport.Handler acceptor;
        private boolean open = true;
        private boolean silent;
        private long lastDueToOpener;
        private long lastDueToAcceptor;

        private Connection(Endpoint from, Endpoint to, ProcessTimers openerProcess, ProcessTimers acceptorProcess) {
            this.from = from;
            this.to = to;
            this.openerProcess = openerProcess;
            this.acceptorProcess = acceptorProcess;
        }

        Channel side(boolean acceptorSide) {
            return new Channel() {
                @Override
                public void write(Message message) {
                    send(acceptorSide, FrameCodec.encode(message));
                }

                @Override
                public void close() {
                    end();
                }
            };
        }

        private void send(boolean toOpener, byte[] frame) {
            bytesOnLinks += frame.length + FrameCodec.LENGTH_BYTES;
            if (!open || silent || partitioned.test(from, to)) {
                silent |= partitioned.test(from, to);
                return;
            }
            long due = clock.nanos() + latency.sampleNanos(from, to);
            due = Math.max(due, toOpener ? lastDueToOpener : lastDueToAcceptor);
            if (toOpener) {
                lastDueToOpener = due;
            } else {
                lastDueToAcceptor = due;
            }
            clock.after(due - clock.nanos(), () -> deliver(toOpener, frame));
        }

        private void deliver(boolean toOpener, byte[] frame) {
            if (!open || silent) {
                return;
            }
            ProcessTimers process = toOpener ? openerProcess : acceptorProcess;
            Transport.Handler handler = toOpener ? opener : acceptor;
            process.run(() -> handler.received(FrameCodec.decode(frame)));
        }

        private void end() {
            if (!open) {
                return;
            }
            open = false;
            boolean wasSilent = silent;
            clock.after(latency.sampleNanos(from, to), () -> {
                openerProcess.run(opener::connectionClosed);
                if (!wasSilent) {
                    acceptorProcess.run(acceptor::connectionClosed);
                }
            });
        }
    }
}
