package org.verbenadyke.kernel.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The links of a node: one to each node it sends to, and those that others opened. Safe for many threads.
 */
public final class LinkPool implements Links {
    private static final int PAUSE_TICKS = 3;

    private final Message.Hello self;
    private final TimerService timers;
    private final LinkSettings settings;
    private final Transport transport;
    private final Counters counters;
    private final Listener listener;
    private final Map<Endpoint, Slot> slots = new ConcurrentHashMap<>();
    private final Map<Long, LinkSession> sessions = new ConcurrentSkipListMap<>();
    private final AtomicLong sessionNumbers = new AtomicLong();
    private volatile long tickNanos;

    private LinkPool(
            Message.Hello self,
            TimerService timers,
            LinkSettings settings,
            Transport transport,
            Counters counters,
            Listener listener) {
        this.self = self;
        this.timers = timers;
        this.settings = settings;
        this.transport = transport;
        this.counters = counters;
        this.listener = listener;
        this.tickNanos = timers.nanos();
    }

    /**
     * Creates a pool without links.
     *
     * @param self what this node says of itself
     * @param timers the time
     * @param settings how links are watched
     * @param transport opens connections
     * @param counters where lost links are counted
     * @param listener takes messages and lost links
     * @return the pool
     */
    public static LinkPool create(
            Message.Hello self,
            TimerService timers,
            LinkSettings settings,
            Transport transport,
            Counters counters,
            Listener listener) {
        LinkPool pool = new LinkPool(self, timers, settings, transport, counters, listener);
        timers.every(settings.tickNanos(), pool::tick);
        return pool;
    }

    /**
     * Takes a connection that another node opened.
     *
     * @return takes the connection's events
     */
    public Transport.Handler accept() {
        LinkSession session = LinkSession.create(self, timers, settings, new Accepted(), false);
        register(session);
        return session;
    }

    @Override
    public void acquire(Endpoint endpoint, Consumer<Optional<Link>> taker) {
        Slot slot = slots.computeIfAbsent(endpoint, Slot::new);
        LinkSession open = slot.open;
        if (open != null && !open.closed()) {
            taker.accept(Optional.of(open));
            return;
        }
        slot.serial.run(() -> slot.want(taker));
    }

    /** Closes every link. */
    public void closeAll() {
        sessions.values().forEach(LinkSession::close);
    }

    /**
     * Returns the links.
     *
     * @return how many connections are open or being opened
     */
    public int size() {
        return sessions.size();
    }

    private void register(LinkSession session) {
        session.number(sessionNumbers.incrementAndGet());
        sessions.put(session.number(), session);
    }

    private void tick() {
        long now = timers.nanos();
        boolean paused = now - tickNanos > settings.tickNanos() * PAUSE_TICKS;
        tickNanos = now;
        sessions.values().forEach(s -> s.tick(now, paused));
    }

    private void ended(LinkSession link, boolean silent) {
        sessions.remove(link.number());
        counters.count(silent ? Event.LINK_SILENT : Event.LINK_LOST);
        listener.linkLost(link);
    }

    /**
     * Takes what comes over the links.
     */
    public interface Listener {
        /**
         * Takes a message.
         *
         * @param link the link it came by
         * @param message the message
         */
        void received(Link link, Message message);

        /**
         * Takes the end of a link.
         *
         * @param link the link
         */
        void linkLost(Link link);
    }

    /**
     * Owns the links that others opened.
     */
    private final class Accepted implements LinkOwner {
        @Override
        public void ready(LinkSession link) {
            // Answers go out on it when there are any.
        }

        @Override
        public void received(LinkSession link, Message message) {
            listener.received(link, message);
        }

        @Override
        public void lost(LinkSession link, boolean silent) {
            ended(link, silent);
        }
    }

    /**
     * Owns the link to one node.
     */
    private final class Slot implements LinkOwner {
        private final Endpoint endpoint;
        private final SerialExecutor serial = SerialExecutor.create();
        private final List<Consumer<Optional<Link>>> takers = new ArrayList<>();
        private LinkSession opening;
        private volatile LinkSession open;

        private Slot(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        void want(Consumer<Optional<Link>> taker) {
            if (open != null && !open.closed()) {
                taker.accept(Optional.of(open));
                return;
            }
            takers.add(taker);
            if (opening == null) {
                opening = LinkSession.create(self, timers, settings, this, true);
                register(opening);
                transport.connect(endpoint, opening);
            }
        }

        @Override
        public void ready(LinkSession link) {
            serial.run(() -> {
                if (link == opening) {
                    opening = null;
                    open = link;
                    tell(Optional.of(link));
                }
            });
        }

        @Override
        public void received(LinkSession link, Message message) {
            listener.received(link, message);
        }

        @Override
        public void lost(LinkSession link, boolean silent) {
            serial.run(() -> {
                if (link == opening) {
                    opening = null;
                    tell(Optional.empty());
                }
                if (link == open) {
                    open = null;
                }
                ended(link, silent);
            });
        }

        private void tell(Optional<Link> link) {
            List<Consumer<Optional<Link>>> told = List.copyOf(takers);
            takers.clear();
            told.forEach(t -> t.accept(link));
        }
    }
}
