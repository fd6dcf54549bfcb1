package org.verbenadyke.kernel.link;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.time.TimerService;

/**
 * One connection between two nodes: greets, lends clocks, and finds out when the connection has gone silent. The side
 * that opened it asks for signs of life; the other side answers.
 */
final class LinkSession implements Link, Transport.Handler {
    private static final int IDLE_PERIODS_MOST = 4;

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
    private volatile long heardNanos;
    private volatile long clockNanos;
    private final AtomicInteger awaited = new AtomicInteger();
    private volatile long unansweredSince;
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
        this.heardNanos = createdNanos;
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
    public void adjustAwaited(int more) {
        awaited.addAndGet(more);
    }

    @Override
    public boolean closed() {
        return closed.get();
    }

    @Override
    public void opened(Channel newChannel) {
        channel = newChannel;
        heardNanos = timers.nanos();
        newChannel.write(self);
        newChannel.write(new Message.Heartbeat(timers.nanos()));
        if (closed.get()) {
            newChannel.close();
        }
    }

    @Override
    public void received(Message message) {
        heardNanos = timers.nanos();
        unansweredSince = 0;
        switch (message) {
            case Message.Hello hello -> greet(hello);
            case Message.Heartbeat beat -> beat(beat);
            default -> pass(message);
        }
    }

    @Override
    public void ended() {
        end(false);
    }

    private void greet(Message.Hello hello) {
        if (hello.version() != Message.VERSION || peer != null) {
            end(false);
            return;
        }
        peer = hello;
    }

    private void beat(Message.Heartbeat beat) {
        peerClock = beat.senderClock();
        clockNanos = timers.nanos();
        if (!opener) {
            send(new Message.Heartbeat(timers.nanos()));
        }
        if (!ready && peer != null) {
            ready = true;
            owner.ready(this);
        }
    }

    private void pass(Message message) {
        if (!ready) {
            end(false);
            return;
        }
        owner.received(this, message);
    }

    /**
     * Looks whether the link has gone silent.
     *
     * @param now the time
     * @param paused whether this process was paused since the last look, so that silence proves nothing
     */
    void tick(long now, boolean paused) {
        if (!ready) {
            if (now - createdNanos > settings.connectNanos()) {
                end(false);
            }
            return;
        }
        if (paused) {
            heardNanos = now;
            unansweredSince = 0;
        }
        long quiet = now - heardNanos;
        if (!opener) {
            if (quiet > settings.idleNanos() * IDLE_PERIODS_MOST) {
                end(true);
            }
            return;
        }
        if (unansweredSince != 0 && now - unansweredSince > settings.silentNanos() - settings.quietNanos()) {
            end(true);
            return;
        }
        boolean anxious = awaited.get() > 0 && quiet > settings.quietNanos();
        boolean clockOld = now - clockNanos > settings.idleNanos();
        if (unansweredSince == 0 && (anxious || clockOld)) {
            unansweredSince = now;
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
