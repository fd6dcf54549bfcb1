package org.verbenadyke.kernel.core;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link UpstreamWatch}. */
final class UpstreamWatchTest {
    private static final long SILENT = 6_000;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> told = new ArrayList<>();
    private final UpstreamWatch watch = UpstreamWatch.start(clock, SILENT, new Told());

    @Test
    void ignoresAnOlderHeartbeatOfTheSameStart() {
        watch.hear(beat("a", 5, false));
        watch.hear(beat("a", 4, true));
        assertEquals(List.of("arrived a", "late a"), told);
    }

    @Test
    void ignoresAStartThatWasReplaced() {
        watch.hear(beat("a", 5, false));
        watch.hear(beat("b", 1, false));
        watch.hear(beat("a", 6, false));
        assertEquals(List.of("arrived a", "arrived b", "late a"), told);
        assertEquals("b", watch.current().orElseThrow().id());
    }

    @Test
    void givesALeavingUpstreamNoMoreWork() {
        watch.hear(beat("a", 1, false));
        watch.hear(beat("a", 2, true));
        watch.hear(beat("a", 3, true));
        watch.left("a");
        watch.hear(beat("a", 4, false));
        assertEquals(List.of("arrived a", "leaving a", "late a"), told);
    }

    @Test
    void takesAGoodbyeWithoutWarning() {
        watch.hear(beat("a", 1, false));
        watch.left("a");
        watch.left("other");
        assertEquals(List.of("arrived a", "leaving a"), told);
    }

    @Test
    void noticesSilenceAndTheReturn() {
        watch.hear(beat("a", 1, false));
        clock.advance(2 * SILENT);
        watch.hear(beat("a", 2, false));
        assertEquals(List.of("arrived a", "silent a", "arrived a"), told);
    }

    @Test
    void attachesNothingThatLeavesAlready() {
        watch.hear(beat("a", 1, true));
        clock.advance(2 * SILENT);
        assertEquals(List.of(), told);
    }

    private static UpstreamBeat beat(String id, long sequence, boolean leaving) {
        return new UpstreamBeat(id, "s", new Endpoint("127.0.0.1", 80), 4, leaving, 0, sequence);
    }

    /** Notes what is told. */
    private final class Told implements UpstreamWatch.Host {
        @Override
        public void arrived(UpstreamBeat beat) {
            told.add("arrived " + beat.id());
        }

        @Override
        public void leaving(UpstreamBeat beat) {
            told.add("leaving " + beat.id());
        }

        @Override
        public void silent(UpstreamBeat beat, long silentNanos) {
            told.add("silent " + beat.id());
        }

        @Override
        public void late(UpstreamBeat beat) {
            told.add("late " + beat.id());
        }
    }
}
