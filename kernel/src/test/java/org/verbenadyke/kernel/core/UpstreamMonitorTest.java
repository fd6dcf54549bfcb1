package org.verbenadyke.kernel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.DepartureKeeper;
import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link UpstreamMonitor}. */
final class UpstreamMonitorTest {
    private static final long SILENT_NANOS = 6_000;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> events = new ArrayList<>();
    private final List<Boolean> acknowledged = new ArrayList<>();
    private final HeldKeeper keeper = new HeldKeeper();
    private final UpstreamMonitor monitor = UpstreamMonitor.start(clock, SILENT_NANOS, new EventRecorder());

    @Test
    void ignoresAnOlderHeartbeatOfTheSameStart() {
        monitor.heartbeat(heartbeat("a", 5, false));
        monitor.heartbeat(heartbeat("a", 4, true));
        assertEquals(List.of("arrived a", "late a"), events);
    }

    @Test
    void ignoresAStartThatWasReplaced() {
        monitor.heartbeat(heartbeat("a", 5, false));
        monitor.heartbeat(heartbeat("b", 1, false));
        monitor.heartbeat(heartbeat("a", 6, false));
        assertEquals(List.of("arrived a", "arrived b", "late a"), events);
        assertEquals("b", monitor.current().orElseThrow().id());
    }

    @Test
    void givesALeavingUpstreamNoMoreWork() {
        monitor.heartbeat(heartbeat("a", 1, false));
        monitor.heartbeat(heartbeat("a", 2, true));
        monitor.heartbeat(heartbeat("a", 3, true));
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        monitor.heartbeat(heartbeat("a", 4, false));
        assertEquals(List.of("arrived a", "leaving a", "late a"), events);
    }

    @Test
    void acceptsAShutdownNoticeWithoutALeavingHeartbeat() {
        monitor.heartbeat(heartbeat("a", 1, false));
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        monitor.shutdownAnnounced(start("other"), LeavingAnnouncement.DEREGISTRATION);
        assertEquals(List.of("arrived a", "leaving a"), events);
    }

    /** The number of slots would otherwise stay that of the first heartbeat. */
    @Test
    void reportsAnotherNumberOfSlots() {
        monitor.heartbeat(heartbeat("a", 1, false));
        monitor.heartbeat(new UpstreamHeartbeat(start("a"), "s", new Endpoint("127.0.0.1", 80), 8, false, 0, 2));
        monitor.heartbeat(new UpstreamHeartbeat(start("a"), "s", new Endpoint("127.0.0.1", 80), 8, false, 0, 3));
        assertEquals(List.of("arrived a", "resized a"), events);
    }

    @Test
    void reportsSilenceAndReturn() {
        monitor.heartbeat(heartbeat("a", 1, false));
        clock.advance(2 * SILENT_NANOS);
        monitor.heartbeat(heartbeat("a", 2, false));
        assertEquals(List.of("arrived a", "silent a", "arrived a"), events);
    }

    @Test
    void givesNoWorkToAnAbsentUpstreamUntilItsNextHeartbeat() {
        monitor.heartbeat(heartbeat("a", 1, false));
        monitor.absent(start("a"));
        monitor.absent(start("a"));
        monitor.heartbeat(heartbeat("a", 2, false));
        monitor.heartbeat(heartbeat("b", 1, false));
        monitor.absent(start("a"));
        clock.advance(SILENT_NANOS / 2);
        assertEquals(List.of("arrived a", "absent a", "arrived a", "arrived b"), events);
    }

    @Test
    void ignoresAnUpstreamThatIsAlreadyLeaving() {
        monitor.heartbeat(heartbeat("a", 1, true));
        clock.advance(2 * SILENT_NANOS);
        assertEquals(List.of(), events);
    }

    @Test
    void acceptsALaterStartUnderTheSameIdDespiteItsLowerSequence() {
        monitor.heartbeat(heartbeat("a", 100, 50, false));
        monitor.heartbeat(heartbeat("a", 200, 1, false));
        monitor.heartbeat(heartbeat("a", 200, 2, false));
        assertEquals(List.of("arrived a@100", "arrived a@200"), events);
    }

    @Test
    void ignoresAnEarlierStartUnderTheSameIdDespiteItsHigherSequence() {
        monitor.heartbeat(heartbeat("a", 200, 1, false));
        monitor.heartbeat(heartbeat("a", 100, 50, true));
        monitor.heartbeat(heartbeat("a", 100, 51, false));
        clock.advance(2 * SILENT_NANOS);
        monitor.heartbeat(heartbeat("a", 100, 52, false));
        assertEquals(List.of("arrived a@200", "late a@100", "late a@100", "silent a@200", "late a@100"), events);
    }

    @Test
    void ordersTheHeartbeatsOfOneStartByTheirSequence() {
        monitor.heartbeat(heartbeat("a", 100, 5, false));
        monitor.heartbeat(heartbeat("a", 100, 4, true));
        monitor.heartbeat(heartbeat("a", 100, 5, true));
        assertEquals(List.of("arrived a@100", "late a@100", "late a@100"), events);
    }

    @Test
    void acceptsALaterStartAfterAShutdownNoticeUnderTheSameId() {
        monitor.heartbeat(heartbeat("a", 100, 7, false));
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        monitor.heartbeat(heartbeat("a", 100, 8, false));
        monitor.heartbeat(heartbeat("a", 200, 1, false));
        assertEquals(List.of("arrived a@100", "leaving a@100", "late a@100", "arrived a@200"), events);
    }

    @Test
    void ignoresAShutdownNoticeOfAnEarlierStart() {
        monitor.heartbeat(heartbeat("a", 200, 1, false));
        monitor.shutdownAnnounced(start("a", 100), LeavingAnnouncement.DEREGISTRATION);
        monitor.heartbeat(heartbeat("a", 200, 2, false));
        assertEquals(List.of("arrived a@200"), events);
    }

    @Test
    void ignoresAnEarlierStartUnderAnotherIdWhileTheLaterOneSendsHeartbeats() {
        monitor.heartbeat(heartbeat("b", 200, 1, false));
        monitor.heartbeat(heartbeat("a", 100, 50, false));
        assertEquals(List.of("arrived b@200", "late a@100"), events);
    }

    @Test
    void acceptsAnUpstreamWhoseClockWentBackOnceTheOtherIsSilent() {
        monitor.heartbeat(heartbeat("b", 200, 1, false));
        clock.advance(2 * SILENT_NANOS);
        monitor.heartbeat(heartbeat("a", 100, 1, false));
        assertEquals(List.of("arrived b@200", "silent b@200", "arrived a@100"), events);
    }

    @Test
    void reportsLeavingWhenTheNextStartLeavesAtOnce() {
        monitor.heartbeat(heartbeat("a", 100, 1, false));
        monitor.heartbeat(heartbeat("a", 200, 1, true));
        assertEquals(List.of("arrived a@100", "leaving a@200"), events);
    }

    @Test
    void ignoresAHeartbeatWithoutAStartTimeWhenOtherStartsHaveOne() {
        monitor.heartbeat(heartbeat("a", 100, 1, false));
        monitor.heartbeat(heartbeat("a", 9, true));
        monitor.heartbeat(heartbeat("b", 9, false));
        assertEquals(List.of("arrived a@100", "late a", "late b"), events);
    }

    @Test
    void ignoresHeartbeatsOfAnUnknownUpstreamForAWhileAfterItsShutdownNotice() {
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        monitor.heartbeat(heartbeat("a", 100, 7, false));
        clock.advance(2 * SILENT_NANOS);
        monitor.heartbeat(heartbeat("a", 100, 8, false));
        monitor.heartbeat(heartbeat("a", 200, 1, false));
        assertEquals(List.of("late a@100", "late a@100", "arrived a@200"), events);
    }

    @Test
    void acceptsALaterStartLongAfterAnUnknownUpstreamsShutdownNotice() {
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        clock.advance(2 * SILENT_NANOS);
        monitor.heartbeat(heartbeat("a", 100, 1, false));
        assertEquals(List.of("arrived a@100"), events);
    }

    @Test
    void givesNoWorkBeforeEarlierDeparturesAreKnown() {
        UpstreamMonitor restarted = restart();
        restarted.heartbeat(heartbeat("a", 100, 4, false));
        restarted.heartbeat(heartbeat("b", 200, 1, false));
        assertEquals(List.of(), events);
        keeper.recover(new DepartedStart(start("a", 100), DepartedStart.FINAL, 0));
        assertEquals(List.of("late a@100", "arrived b@200"), events);
    }

    @Test
    void ignoresAReportOlderThanTheLeavingThatAnEarlierProcessAcknowledged() {
        UpstreamMonitor restarted = restart();
        keeper.recover(new DepartedStart(start("a", 100), 7, 0));
        restarted.heartbeat(heartbeat("a", 100, 6, false));
        restarted.heartbeat(heartbeat("a", 100, 8, true));
        restarted.heartbeat(heartbeat("a", 200, 1, false));
        assertEquals(List.of("late a@100", "arrived a@200"), events);
    }

    @Test
    void takesWorkFromAnUpstreamOfWhichOthersLearnedMoreLater() {
        UpstreamMonitor restarted = restart();
        keeper.recover();
        restarted.heartbeat(heartbeat("a", 100, 4, false));
        keeper.recover(new DepartedStart(start("a", 100), 5, 0));
        restarted.heartbeat(heartbeat("a", 100, 5, false));
        assertEquals(List.of("arrived a@100", "leaving a@100", "late a@100"), events);
    }

    /** The id was known to have departed before; the start that deregisters now was not. */
    @Test
    void ignoresALateReportOfAStartThatDeregisteredUnheard() {
        UpstreamMonitor restarted = restart();
        keeper.recover(new DepartedStart(start("a", 100), DepartedStart.FINAL, 0));
        restarted.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        restarted.heartbeat(heartbeat("a", 200, 1, false));
        assertEquals(List.of("late a@200"), events);
    }

    /** A report may arrive later than a few heartbeats after the start that sent it has deregistered. */
    @Test
    void ignoresAVeryLateReportOfAStartThatDeregisteredUnheard() {
        clock.advance(SECOND_NANOS);
        monitor.shutdownAnnounced(start("a"), LeavingAnnouncement.DEREGISTRATION);
        UpstreamMonitor restarted = restart();
        keeper.recover(new DepartedStart(start("a"), DepartedStart.FINAL, clock.wallMillis()));
        clock.advance(2 * SILENT_NANOS);
        for (UpstreamMonitor m : List.of(monitor, restarted)) {
            m.heartbeat(heartbeat("a", 500, 9, false));
            m.heartbeat(heartbeat("a", 1_500, 1, false));
        }
        assertEquals(List.of("late a@500", "arrived a@1500", "late a@500", "arrived a@1500"), events);
    }

    @Test
    void recordsEachDepartureOnceAndAcknowledgesItWhenItIsSafe() {
        UpstreamMonitor recorded = restart();
        keeper.recover();
        recorded.heartbeat(heartbeat("a", 100, 1, false), acknowledged::add);
        recorded.heartbeat(heartbeat("a", 100, 2, true), acknowledged::add);
        assertEquals(List.of(true), acknowledged);
        recorded.heartbeat(heartbeat("a", 100, 3, true), acknowledged::add);
        recorded.shutdownAnnounced(start("a", 100), LeavingAnnouncement.DEREGISTRATION, acknowledged::add);
        assertEquals(List.of(new DepartedStart(start("a", 100), 2, 0)), keeper.recorded);
        keeper.waiting.forEach(w -> w.accept(false));
        assertEquals(List.of(true, false, false, false), acknowledged);
    }

    private UpstreamMonitor restart() {
        return UpstreamMonitor.start(clock, SILENT_NANOS, keeper, new EventRecorder());
    }

    private static UpstreamStart start(String id) {
        return new UpstreamStart(id, OptionalLong.empty());
    }

    private static UpstreamStart start(String id, long startedMillis) {
        return new UpstreamStart(id, OptionalLong.of(startedMillis));
    }

    private static UpstreamHeartbeat heartbeat(String id, long sequence, boolean leaving) {
        return heartbeat(start(id), sequence, leaving);
    }

    private static UpstreamHeartbeat heartbeat(String id, long startedMillis, long sequence, boolean leaving) {
        return heartbeat(start(id, startedMillis), sequence, leaving);
    }

    private static UpstreamHeartbeat heartbeat(UpstreamStart start, long sequence, boolean leaving) {
        return new UpstreamHeartbeat(start, "s", new Endpoint("127.0.0.1", 80), 4, leaving, 0, sequence);
    }

    /** Keeps departures until the test decides whether they are safe. */
    private static final class HeldKeeper implements DepartureKeeper {
        private final List<DepartedStart> recorded = new ArrayList<>();
        private final List<Consumer<Boolean>> waiting = new ArrayList<>();
        private Consumer<List<DepartedStart>> listener;

        private void recover(DepartedStart... known) {
            listener.accept(List.of(known));
        }

        @Override
        public void record(DepartedStart departed) {
            recorded.add(departed);
        }

        @Override
        public void whenSafe(Consumer<Boolean> callback) {
            waiting.add(callback);
        }

        @Override
        public void onRecovered(Consumer<List<DepartedStart>> newListener) {
            listener = newListener;
        }
    }

    /** Records the events as text. */
    private final class EventRecorder implements UpstreamMonitor.Listener {
        @Override
        public void arrived(UpstreamHeartbeat heartbeat, long heartbeats) {
            record("arrived ", heartbeat);
        }

        @Override
        public void resized(UpstreamHeartbeat heartbeat) {
            record("resized ", heartbeat);
        }

        @Override
        public void leaving(UpstreamHeartbeat heartbeat, LeavingAnnouncement announcement) {
            record("leaving ", heartbeat);
        }

        @Override
        public void silent(UpstreamHeartbeat heartbeat, long silentNanos) {
            record("silent ", heartbeat);
        }

        @Override
        public void absent(UpstreamHeartbeat heartbeat) {
            record("absent ", heartbeat);
        }

        @Override
        public void late(UpstreamHeartbeat heartbeat) {
            record("late ", heartbeat);
        }

        private void record(String what, UpstreamHeartbeat heartbeat) {
            OptionalLong startedMillis = heartbeat.start().startedMillis();
            events.add(what + heartbeat.id() + (startedMillis.isPresent() ? "@" + startedMillis.getAsLong() : ""));
        }
    }
}
