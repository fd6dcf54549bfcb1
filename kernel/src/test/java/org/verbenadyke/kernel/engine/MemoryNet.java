package org.verbenadyke.kernel.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;

/** Connects engines in one thread. Messages are delivered in order and immediately unless a test delays them. */
final class MemoryNet {
    private final Map<Endpoint, Supplier<Transport.Handler>> listening = new HashMap<>();
    private final List<Pipe> pipes = new ArrayList<>();
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private boolean clientsPaused;
    private boolean pumping;

    Transport transport() {
        return (endpoint, handler) -> later(() -> connect(endpoint, handler));
    }

    void listen(Endpoint endpoint, Supplier<Transport.Handler> accept) {
        listening.put(endpoint, accept);
    }

    /** Crashes the process at an endpoint: it handles and sends nothing more, and its peers lose their connections. */
    void crash(Endpoint endpoint) {
        listening.remove(endpoint);
        pipes.stream().filter(p -> p.endpoint.equals(endpoint)).forEach(p -> {
            p.cut = true;
            deliverToClient(p.client::connectionClosed);
        });
        pipes.removeIf(p -> p.endpoint.equals(endpoint));
    }

    /** Delays all events of the client sides of connections, as if their process were paused. */
    void pauseClients() {
        clientsPaused = true;
    }

    /** Delivers the events that were delayed. */
    void resumeClients() {
        clientsPaused = false;
        List<Runnable> due = List.copyOf(delayed);
        delayed.clear();
        due.forEach(this::later);
    }

    /** Drops all messages sent to an endpoint over its current connections. */
    void dropIncoming(Endpoint endpoint) {
        pipes.stream().filter(p -> p.endpoint.equals(endpoint)).forEach(p -> p.dropping = true);
    }

    /** Closes the connections to an endpoint on both sides. */
    void reset(Endpoint endpoint) {
        List<Pipe> open =
                pipes.stream().filter(p -> p.endpoint.equals(endpoint)).toList();
        pipes.removeAll(open);
        open.forEach(Pipe::close);
    }

    private void connect(Endpoint endpoint, Transport.Handler client) {
        Supplier<Transport.Handler> accept = listening.get(endpoint);
        if (accept == null) {
            client.connectionClosed();
            return;
        }
        Pipe pipe = new Pipe(endpoint, client, accept.get());
        pipes.add(pipe);
        client.opened(pipe.toServer());
        pipe.server.opened(pipe.toClient());
    }

    private void deliverToClient(Runnable task) {
        if (clientsPaused) {
            delayed.add(task);
        } else {
            later(task);
        }
    }

    private void later(Runnable task) {
        pending.add(task);
        if (pumping) {
            return;
        }
        pumping = true;
        for (Runnable next = pending.poll(); next != null; next = pending.poll()) {
            next.run();
        }
        pumping = false;
    }

    /** One connection; the client is the side that opened it. */
    private final class Pipe {
        private final Endpoint endpoint;
        private final Transport.Handler client;
        private final Transport.Handler server;
        private boolean cut;
        private boolean dropping;

        private Pipe(Endpoint endpoint, Transport.Handler client, Transport.Handler server) {
            this.endpoint = endpoint;
            this.client = client;
            this.server = server;
        }

        Channel toServer() {
            return new Channel() {
                @Override
                public void write(Message message) {
                    if (!dropping) {
                        later(() -> pass(server, message));
                    }
                }

                @Override
                public void close() {
                    Pipe.this.close();
                }
            };
        }

        Channel toClient() {
            return new Channel() {
                @Override
                public void write(Message message) {
                    deliverToClient(() -> pass(client, message));
                }

                @Override
                public void close() {
                    Pipe.this.close();
                }
            };
        }

        private void pass(Transport.Handler to, Message message) {
            if (!cut) {
                to.received(message);
            }
        }

        private void close() {
            if (!cut) {
                cut = true;
                deliverToClient(client::connectionClosed);
                later(server::connectionClosed);
            }
        }
    }
}
