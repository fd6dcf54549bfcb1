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
 * The links of a node: one to each node that it sends to, and those that other nodes opened. Thread-safe.
 */
public final class LinkPool implements Links {
    private static final int MIN_PAUSE_TICKS = 3;

    private final Message.Hello self;
    private final TimerService timers;
    private final LinkSettings settings;
    private final Transport transport;
    private final Counters counters;
    private final Listener listener;
    private final Map<Endpoint, PeerLink> peerLinks = new ConcurrentHashMap<>();
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
     * @param self the hello message of the local node
     * @param timers the clock and timers
     * @param settings the timeouts of links
     * @param transport opens connections
     * @param counters counts lost links
     * @param listener receives messages and lost links
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
     * Accepts a connection that another node opened.
     *
     * @return the handler of the connection's events
     */
    public Transport.Handler accept() {
        LinkSession session = LinkSession.create(self, timers, settings, new Accepted(), false);
        register(session);
        return session;
    }

    @Override
    public void acquire(Endpoint endpoint, Consumer<Optional<Link>> callback) {
        PeerLink slot = peerLinks.computeIfAbsent(endpoint, PeerLink::new);
        LinkSession open = slot.open;
        if (open != null && !open.closed()) {
            callback.accept(Optional.of(open));
            return;
        }
        slot.serial.run(() -> slot.request(callback));
    }

    /** Closes every link. */
    public void closeAll() {
        sessions.values().forEach(LinkSession::close);
    }

    /**
     * Returns the number of links.
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
        boolean paused = now - tickNanos > settings.tickNanos() * MIN_PAUSE_TICKS;
        tickNanos = now;
        sessions.values().forEach(s -> s.tick(now, paused));
    }

    private void ended(LinkSession link, boolean silent) {
        sessions.remove(link.number());
        counters.count(silent ? Event.LINK_SILENT : Event.LINK_LOST);
        listener.linkLost(link);
    }

    /**
     * Receives the events of all links.
     */
    public interface Listener {
        /**
         * Handles a message.
         *
         * @param link the link on which the message arrived
         * @param message the message
         */
        void received(Link link, Message message);

        /**
         * Called when a link has closed.
         *
         * @param link the link
         */
        void linkLost(Link link);
    }

    /**
     * Owner of the links that other nodes opened.
     */
    private final class Accepted implements LinkOwner {
        @Override
        public void ready(LinkSession link) {
            // Nothing to do: answers are sent on the link as they become available.
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
     * Owner of the link to one node.
     */
    private final class PeerLink implements LinkOwner {
        private final Endpoint endpoint;
        private final SerialExecutor serial = SerialExecutor.create();
        private final List<Consumer<Optional<Link>>> callbacks = new ArrayList<>();
        private LinkSession opening;
        private volatile LinkSession open;

        private PeerLink(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        void request(Consumer<Optional<Link>> callback) {
            if (open != null && !open.closed()) {
                callback.accept(Optional.of(open));
                return;
            }
            callbacks.add(callback);
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
                    notifyCallbacks(Optional.of(link));
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
                    notifyCallbacks(Optional.empty());
                }
                if (link == open) {
                    open = null;
                }
                ended(link, silent);
            });
        }

        private void notifyCallbacks(Optional<Link> link) {
            List<Consumer<Optional<Link>>> pending = List.copyOf(callbacks);
            callbacks.clear();
            pending.forEach(c -> c.accept(link));
        }
    }
}
