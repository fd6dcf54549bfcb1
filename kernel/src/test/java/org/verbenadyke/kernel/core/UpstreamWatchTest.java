package org.verbenadyke.kernel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link UpstreamMonitor}. */
final class UpstreamWatchTest {
    private static final long SILENT = 6_000;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> told = new ArrayList<>();
    private final UpstreamMonitor watch = UpstreamMonitor.start(clock, SILENT, new Told());

    @Test
    void ignoresAnOlderHeartbeatOfTheSameStart() {
        watch.heartbeat(beat("a", 5, false));
        watch.heartbeat(beat("a", 4, true));
        assertEquals(List.of("arrived a", "late a"), told);
    }

    @Test
    void ignoresAStartThatWasReplaced() {
        watch.heartbeat(beat("a", 5, false));
        watch.heartbeat(beat("b", 1, false));
        watch.heartbeat(beat("a", 6, false));
        assertEquals(List.of("arrived a", "arrived b", "late a"), told);
        assertEquals("b", watch.current().orElseThrow().id());
    }

    @Test
    void givesALeavingUpstreamNoMoreWork() {
        watch.heartbeat(beat("a", 1, false));
        watch.heartbeat(beat("a", 2, true));
        watch.heartbeat(beat("a", 3, true));
        watch.shutdownAnnounced(start("a"));
        watch.heartbeat(beat("a", 4, false));
        assertEquals(List.of("arrived a", "leaving a", "late a"), told);
    }

    @Test
    void takesAGoodbyeWithoutWarning() {
        watch.heartbeat(beat("a", 1, false));
        watch.shutdownAnnounced(start("a"));
        watch.shutdownAnnounced(start("other"));
        assertEquals(List.of("arrived a", "leaving a"), told);
    }

    @Test
    void noticesSilenceAndTheReturn() {
        watch.heartbeat(beat("a", 1, false));
        clock.advance(2 * SILENT);
        watch.heartbeat(beat("a", 2, false));
        assertEquals(List.of("arrived a", "silent a", "arrived a"), told);
    }

    @Test
    void givesNoWorkToAnUpstreamWhereNothingListensUntilItReports() {
        watch.heartbeat(beat("a", 1, false));
        watch.absent(start("a"));
        watch.absent(start("a"));
        watch.heartbeat(beat("a", 2, false));
        watch.heartbeat(beat("b", 1, false));
        watch.absent(start("a"));
        clock.advance(SILENT / 2);
        assertEquals(List.of("arrived a", "absent a", "arrived a", "arrived b"), told);
    }

    @Test
    void attachesNothingThatLeavesAlready() {
        watch.heartbeat(beat("a", 1, true));
        clock.advance(2 * SILENT);
        assertEquals(List.of(), told);
    }

    @Test
    void takesALaterStartUnderTheSameIdThoughItCountsAnew() {
        watch.heartbeat(beat("a", 100, 50, false));
        watch.heartbeat(beat("a", 200, 1, false));
        watch.heartbeat(beat("a", 200, 2, false));
        assertEquals(List.of("arrived a@100", "arrived a@200"), told);
    }

    @Test
    void ignoresAnEarlierStartUnderTheSameIdThoughItCountsHigher() {
        watch.heartbeat(beat("a", 200, 1, false));
        watch.heartbeat(beat("a", 100, 50, true));
        watch.heartbeat(beat("a", 100, 51, false));
        clock.advance(2 * SILENT);
        watch.heartbeat(beat("a", 100, 52, false));
        assertEquals(List.of("arrived a@200", "late a@100", "late a@100", "silent a@200", "late a@100"), told);
    }

    @Test
    void ordersTheHeartbeatsOfOneStartByTheirSequence() {
        watch.heartbeat(beat("a", 100, 5, false));
        watch.heartbeat(beat("a", 100, 4, true));
        watch.heartbeat(beat("a", 100, 5, true));
        assertEquals(List.of("arrived a@100", "late a@100", "late a@100"), told);
    }

    @Test
    void takesALaterStartAfterAGoodbyeUnderTheSameId() {
        watch.heartbeat(beat("a", 100, 7, false));
        watch.shutdownAnnounced(start("a"));
        watch.heartbeat(beat("a", 100, 8, false));
        watch.heartbeat(beat("a", 200, 1, false));
        assertEquals(List.of("arrived a@100", "leaving a@100", "late a@100", "arrived a@200"), told);
    }

    @Test
    void ignoresAGoodbyeOfAnEarlierStart() {
        watch.heartbeat(beat("a", 200, 1, false));
        watch.shutdownAnnounced(start("a", 100));
        watch.heartbeat(beat("a", 200, 2, false));
        assertEquals(List.of("arrived a@200"), told);
    }

    @Test
    void ignoresAnEarlierStartUnderAnotherIdWhileTheLaterOneReports() {
        watch.heartbeat(beat("b", 200, 1, false));
        watch.heartbeat(beat("a", 100, 50, false));
        assertEquals(List.of("arrived b@200", "late a@100"), told);
    }

    @Test
    void takesAnUpstreamWhoseClockWentBackOnceTheOtherIsSilent() {
        watch.heartbeat(beat("b", 200, 1, false));
        clock.advance(2 * SILENT);
        watch.heartbeat(beat("a", 100, 1, false));
        assertEquals(List.of("arrived b@200", "silent b@200", "arrived a@100"), told);
    }

    @Test
    void tellsThatTheUpstreamLeavesWhenItsNextStartLeavesAtOnce() {
        watch.heartbeat(beat("a", 100, 1, false));
        watch.heartbeat(beat("a", 200, 1, true));
        assertEquals(List.of("arrived a@100", "leaving a@200"), told);
    }

    @Test
    void ignoresAHeartbeatThatDoesNotSayWhichOfSeveralStartsItMeans() {
        watch.heartbeat(beat("a", 100, 1, false));
        watch.heartbeat(beat("a", 9, true));
        watch.heartbeat(beat("b", 9, false));
        assertEquals(List.of("arrived a@100", "late a", "late b"), told);
    }

    @Test
    void ignoresForAWhileWhatAnUnknownUpstreamSaidBeforeItsGoodbye() {
        watch.shutdownAnnounced(start("a"));
        watch.heartbeat(beat("a", 100, 7, false));
        clock.advance(2 * SILENT);
        watch.heartbeat(beat("a", 100, 8, false));
        watch.heartbeat(beat("a", 200, 1, false));
        assertEquals(List.of("late a@100", "late a@100", "arrived a@200"), told);
    }

    @Test
    void takesALaterStartLongAfterAnUnknownUpstreamsGoodbye() {
        watch.shutdownAnnounced(start("a"));
        clock.advance(2 * SILENT);
        watch.heartbeat(beat("a", 100, 1, false));
        assertEquals(List.of("arrived a@100"), told);
    }

    private static UpstreamStart start(String id) {
        return new UpstreamStart(id, OptionalLong.empty());
    }

    private static UpstreamStart start(String id, long born) {
        return new UpstreamStart(id, OptionalLong.of(born));
    }

    private static UpstreamHeartbeat beat(String id, long sequence, boolean leaving) {
        return beat(start(id), sequence, leaving);
    }

    private static UpstreamHeartbeat beat(String id, long born, long sequence, boolean leaving) {
        return beat(start(id, born), sequence, leaving);
    }

    private static UpstreamHeartbeat beat(UpstreamStart start, long sequence, boolean leaving) {
        return new UpstreamHeartbeat(start, "s", new Endpoint("127.0.0.1", 80), 4, leaving, 0, sequence);
    }

    /** Notes what is told. */
    private final class Told implements UpstreamMonitor.Listener {
        @Override
        public void arrived(UpstreamHeartbeat beat) {
            note("arrived ", beat);
        }

        @Override
        public void leaving(UpstreamHeartbeat beat) {
            note("leaving ", beat);
        }

        @Override
        public void silent(UpstreamHeartbeat beat, long silentNanos) {
            note("silent ", beat);
        }

        @Override
        public void absent(UpstreamHeartbeat beat) {
            note("absent ", beat);
        }

        @Override
        public void late(UpstreamHeartbeat beat) {
            note("late ", beat);
        }

        private void note(String what, UpstreamHeartbeat beat) {
            OptionalLong born = beat.start().startedMillis();
            told.add(what + beat.id() + (born.isPresent() ? "@" + born.getAsLong() : ""));
        }
    }
}
