package org.verbenadyke.node.http1;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.time.VirtualTimerService;

import io.netty.channel.embedded.EmbeddedChannel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a connection whose decoding takes the event loop from all others. */
final class ReadPaceTest {
    private static final int MANY = 10_000;
    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_PAUSE_NANOS = 60 * SECOND;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final AtomicInteger paused = new AtomicInteger();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReadPace pace = ReadPace.of(clock, paused);

    @Test
    void ordinaryReadsNeedNoPause() {
        decode(ReadPace.FREE_PARTS);
        pace.readComplete(channel);
        assertTrue(channel.config().isAutoRead());
        decode(ReadPace.FREE_PARTS);
        pace.readComplete(channel);
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void stopsReadingBeforeTheReadsHaveEnded() {
        decode(MANY);
        assertFalse(channel.config().isAutoRead());
    }

    @Test
    void readsOnAfterThePauseOnlyIfMoreIsWanted() {
        decode(MANY);
        pace.readComplete(channel);
        pace.setWanted(channel, true);
        assertFalse(channel.config().isAutoRead());
        advance(SECOND);
        assertTrue(channel.config().isAutoRead());
        decode(MANY);
        pace.readComplete(channel);
        pace.setWanted(channel, false);
        advance(SECOND);
        assertFalse(channel.config().isAutoRead());
        assertEquals(0, paused.get());
    }

    /** The sum over all connections is what the event loop has to bear. */
    @Test
    void pausesTheLongerTheMoreConnectionsPause() {
        long alone = pauseNanos();
        paused.set(9);
        assertEquals(10 * alone, pauseNanos());
    }

    private long pauseNanos() {
        decode(MANY);
        pace.readComplete(channel);
        long nanos = 0;
        for (; !channel.config().isAutoRead() && nanos < MAX_PAUSE_NANOS; nanos += SECOND / 1_000) {
            advance(SECOND / 1_000);
        }
        return nanos;
    }

    private void decode(int parts) {
        for (int i = 0; i < parts; i++) {
            pace.partDecoded(channel);
        }
    }

    private void advance(long nanos) {
        clock.advance(nanos);
        channel.runPendingTasks();
    }
}
