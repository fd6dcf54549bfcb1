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

/** Connects engines in one thread. Messages arrive in order and at once, unless a test says otherwise. */
final class MemoryNet {
    private final Map<Endpoint, Supplier<Transport.Handler>> listening = new HashMap<>();
    private final List<Pipe> pipes = new ArrayList<>();
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private final List<Runnable> held = new ArrayList<>();
    private boolean openersPaused;
    private boolean pumping;

    Transport transport() {
        return (endpoint, handler) -> later(() -> connect(endpoint, handler));
    }

    void listen(Endpoint endpoint, Supplier<Transport.Handler> accept) {
        listening.put(endpoint, accept);
    }

    /** Ends the process at an endpoint: nothing of it does anything any more, and its peers lose their connections. */
    void crash(Endpoint endpoint) {
        listening.remove(endpoint);
        pipes.stream().filter(p -> p.server.equals(endpoint)).forEach(p -> {
            p.cut = true;
            toOpener(p.below::ended);
        });
        pipes.removeIf(p -> p.server.equals(endpoint));
    }

    /** Holds back all that the opening sides of connections would learn, as while their process is paused. */
    void pauseOpeners() {
        openersPaused = true;
    }

    /** Lets the opening sides learn what was held back. */
    void resumeOpeners() {
        openersPaused = false;
        List<Runnable> due = List.copyOf(held);
        held.clear();
        due.forEach(this::later);
    }

    /** Loses what is sent to the process at an endpoint on the connections it has now. */
    void deafen(Endpoint endpoint) {
        pipes.stream().filter(p -> p.server.equals(endpoint)).forEach(p -> p.deaf = true);
    }

    /** Ends the connections to an endpoint on both sides. */
    void reset(Endpoint endpoint) {
        List<Pipe> ended = pipes.stream().filter(p -> p.server.equals(endpoint)).toList();
        pipes.removeAll(ended);
        ended.forEach(Pipe::close);
    }

    private void connect(Endpoint endpoint, Transport.Handler below) {
        Supplier<Transport.Handler> accept = listening.get(endpoint);
        if (accept == null) {
            below.ended();
            return;
        }
        Pipe pipe = new Pipe(endpoint, below, accept.get());
        pipes.add(pipe);
        below.opened(pipe.upwards());
        pipe.above.opened(pipe.downwards());
    }

    private void toOpener(Runnable task) {
        if (openersPaused) {
            held.add(task);
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

    /** One connection; {@code below} is the side that opened it. */
    private final class Pipe {
        private final Endpoint server;
        private final Transport.Handler below;
        private final Transport.Handler above;
        private boolean cut;
        private boolean deaf;

        private Pipe(Endpoint server, Transport.Handler below, Transport.Handler above) {
            this.server = server;
            this.below = below;
            this.above = above;
        }

        Channel upwards() {
            return new Channel() {
                @Override
                public void write(Message message) {
                    if (!deaf) {
                        later(() -> pass(above, message));
                    }
                }

                @Override
                public void close() {
                    Pipe.this.close();
                }
            };
        }

        Channel downwards() {
            return new Channel() {
                @Override
                public void write(Message message) {
                    toOpener(() -> pass(below, message));
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
                toOpener(below::ended);
                later(above::ended);
            }
        }
    }
}
