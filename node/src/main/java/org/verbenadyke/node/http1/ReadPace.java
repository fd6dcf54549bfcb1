package org.verbenadyke.node.http1;

import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.time.TimerService;

import io.netty.channel.Channel;

/**
 * Limits how much of the event loop the decoding of one connection takes: a connection that brings very many decoded
 * parts in a read isn't read for a while. The more connections of a pool do so, the longer each pauses, so that their
 * sum stays bounded as well. Ordinary answers consist of few parts. Confined to the connection's event loop.
 */
final class ReadPace {
    /** The number of parts in a row that need no pause: those of a long answer in chunks of a few KB. */
    static final int FREE_PARTS = 256;

    /** The number of parts after which the socket isn't read again before the pause. */
    private static final int MAX_PARTS = 2_048;

    /** The pause for each part, in nanoseconds: several times what its decoding takes. */
    private static final long PAUSE_NANOS_PER_PART = 5_000L;

    private final TimerService timers;
    private final AtomicInteger pausedConnections;
    private int parts;
    private boolean wanted = true;
    private boolean paused;

    private ReadPace(TimerService timers, AtomicInteger pausedConnections) {
        this.timers = timers;
        this.pausedConnections = pausedConnections;
    }

    /**
     * Creates the pace of one connection.
     *
     * @param timers the timers that end the pauses
     * @param pausedConnections counts the paused connections of the same pool
     */
    static ReadPace of(TimerService timers, AtomicInteger pausedConnections) {
        return new ReadPace(timers, pausedConnections);
    }

    /** Sets whether the connection is to be read, apart from pauses. */
    void setWanted(Channel channel, boolean newWanted) {
        wanted = newWanted;
        apply(channel);
    }

    /** Counts a decoded part. */
    void partDecoded(Channel channel) {
        parts++;
        if (parts >= MAX_PARTS) {
            channel.config().setAutoRead(false);
        }
    }

    /** Begins a pause if the reads that have ended brought too many parts. */
    void readComplete(Channel channel) {
        int decoded = parts;
        parts = 0;
        if (decoded <= FREE_PARTS || paused) {
            return;
        }
        paused = true;
        apply(channel);
        long nanos = decoded * PAUSE_NANOS_PER_PART * pausedConnections.incrementAndGet();
        timers.after(nanos, () -> channel.eventLoop().execute(() -> resume(channel)));
    }

    private void resume(Channel channel) {
        paused = false;
        pausedConnections.decrementAndGet();
        apply(channel);
    }

    private void apply(Channel channel) {
        channel.config().setAutoRead(wanted && !paused);
    }
}
