package org.verbenadyke.kernel.link;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.time.TimerService;

/**
 * One connection between two nodes: exchanges hello messages and clock readings, and detects when the connection has
 * gone silent. The opening side probes the connection with heartbeats, and the other side replies to each.
 */
final class LinkSession implements Link, Transport.Handler {
    private static final int MAX_IDLE_PERIODS = 4;

    private final Message.Hello self;
    private final TimerService timers;
    private final LinkSettings settings;
    private final LinkOwner owner;
    private final boolean opener;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final long createdNanos;
    private volatile Channel channel;
    private volatile Message.Hello peer;
    private volatile long peerClock;
    private volatile long lastReceivedNanos;
    private volatile long peerClockReceivedNanos;
    private final AtomicInteger awaitedAnswers = new AtomicInteger();
    private volatile long probeSentNanos;
    private volatile boolean ready;
    private volatile long number;

    private LinkSession(
            Message.Hello self, TimerService timers, LinkSettings settings, LinkOwner owner, boolean opener) {
        this.self = self;
        this.timers = timers;
        this.settings = settings;
        this.owner = owner;
        this.opener = opener;
        this.createdNanos = timers.nanos();
        this.lastReceivedNanos = createdNanos;
    }

    static LinkSession create(
            Message.Hello self, TimerService timers, LinkSettings settings, LinkOwner owner, boolean opener) {
        return new LinkSession(self, timers, settings, owner, opener);
    }

    long number() {
        return number;
    }

    void number(long newNumber) {
        number = newNumber;
    }

    @Override
    public void send(Message message) {
        Channel c = channel;
        if (c != null && !closed.get()) {
            c.write(message);
        }
    }

    @Override
    public void close() {
        end(false);
    }

    @Override
    public long peerClock() {
        return peerClock;
    }

    @Override
    public long peerIncarnation() {
        Message.Hello p = peer;
        return p == null ? 0 : p.incarnation();
    }

    @Override
    public void adjustAwaited(int delta) {
        awaitedAnswers.addAndGet(delta);
    }

    @Override
    public boolean closed() {
        return closed.get();
    }

    @Override
    public void opened(Channel newChannel) {
        channel = newChannel;
        lastReceivedNanos = timers.nanos();
        newChannel.write(self);
        newChannel.write(new Message.Heartbeat(timers.nanos()));
        if (closed.get()) {
            newChannel.close();
        }
    }

    @Override
    public void received(Message message) {
        lastReceivedNanos = timers.nanos();
        probeSentNanos = 0;
        switch (message) {
            case Message.Hello hello -> onHello(hello);
            case Message.Heartbeat heartbeat -> onHeartbeat(heartbeat);
            default -> forward(message);
        }
    }

    @Override
    public void connectionClosed() {
        end(false);
    }

    private void onHello(Message.Hello hello) {
        if (hello.version() != Message.VERSION || peer != null) {
            end(false);
            return;
        }
        peer = hello;
    }

    private void onHeartbeat(Message.Heartbeat heartbeat) {
        peerClock = heartbeat.senderClock();
        peerClockReceivedNanos = timers.nanos();
        if (!opener) {
            send(new Message.Heartbeat(timers.nanos()));
        }
        if (!ready && peer != null) {
            ready = true;
            owner.ready(this);
        }
    }

    private void forward(Message message) {
        if (!ready) {
            end(false);
            return;
        }
        owner.received(this, message);
    }

    /**
     * Checks whether the link has gone silent.
     *
     * @param now the time
     * @param paused whether the local process was paused since the last check, so that silence proves nothing
     */
    void tick(long now, boolean paused) {
        if (!ready) {
            if (now - createdNanos > settings.connectTimeoutNanos()) {
                end(false);
            }
            return;
        }
        if (paused) {
            lastReceivedNanos = now;
            probeSentNanos = 0;
        }
        long silentFor = now - lastReceivedNanos;
        if (!opener) {
            if (silentFor > settings.idleProbeNanos() * MAX_IDLE_PERIODS) {
                end(true);
            }
            return;
        }
        if (probeSentNanos != 0 && now - probeSentNanos > settings.lostAfterNanos() - settings.probeAfterNanos()) {
            end(true);
            return;
        }
        boolean answerOverdue = awaitedAnswers.get() > 0 && silentFor > settings.probeAfterNanos();
        boolean clockStale = now - peerClockReceivedNanos > settings.idleProbeNanos();
        if (probeSentNanos == 0 && (answerOverdue || clockStale)) {
            probeSentNanos = now;
            send(new Message.Heartbeat(now));
        }
    }

    private void end(boolean silent) {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        Channel c = channel;
        if (c != null) {
            c.close();
        }
        owner.lost(this, silent);
    }
}
