package org.verbenadyke.kernel.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link Gate}. */
final class GateTest {
    private static final long FAR = Long.MAX_VALUE;

    private final List<String> log = new ArrayList<>();
    private final Gate gate = Gate.of(new GateSettings(true, 0, 2, 10, QueueOrder.IMPORTANCE), FixedLimit.of(1));

    @Test
    void admitsWhileASlotIsFreeAndThenQueues() {
        offer("a", Importance.NORMAL, 0, FAR);
        offer("b", Importance.NORMAL, 0, FAR);
        assertEquals(List.of("a admitted"), log);
        assertEquals(1, gate.queued());
    }

    @Test
    void servesTheMostImportantThenTheDeepestFirst() {
        offer("running", Importance.NORMAL, 0, FAR);
        offer("normal", Importance.NORMAL, 0, FAR);
        offer("deep", Importance.NORMAL, 4, FAR);
        offer("critical", Importance.CRITICAL, 0, FAR);
        release();
        release();
        assertEquals(List.of("running admitted", "normal SHED_QUEUE", "critical admitted", "deep admitted"), log);
    }

    @Test
    void lowImportanceCallsCannotStarveCriticalOnes() {
        offer("running", Importance.LOW, 0, FAR);
        for (int i = 0; i < 100; i++) {
            offer("low" + i, Importance.LOW, 0, FAR);
        }
        offer("critical", Importance.CRITICAL, 0, FAR);
        log.clear();
        release();
        assertEquals(List.of("critical admitted"), log);
    }

    @Test
    void servesTheMostImportantThenTheOneDueFirst() {
        Gate other = Gate.of(new GateSettings(true, 0, 8, 10, QueueOrder.DUE), FixedLimit.of(1));
        other.offer(new RecordedCall(log, "running", Importance.LOW, 1, FAR), 0);
        other.offer(new RecordedCall(log, "soon", Importance.LOW, 1, 1_000), 0);
        other.offer(new RecordedCall(log, "late", Importance.HIGH, 1, 9_000), 0);
        other.offer(new RecordedCall(log, "next", Importance.HIGH, 1, 5_000), 0);
        for (int i = 0; i < 3; i++) {
            other.release(10, 10, ConcurrencyLimit.Outcome.ANSWERED, 0);
        }
        assertEquals(List.of("running admitted", "next admitted", "late admitted", "soon admitted"), log);
    }

    @Test
    void refusesACallThatCannotMeetItsDeadline() {
        offer("running", Importance.NORMAL, 0, FAR);
        gate.release(1_000, 500, ConcurrencyLimit.Outcome.ANSWERED, 0);
        gate.release(2_000_000_000L, 500, ConcurrencyLimit.Outcome.ANSWERED, 0);
        log.clear();
        Gate other = Gate.of(new GateSettings(true, 0, 2, 10, QueueOrder.IMPORTANCE), FixedLimit.of(1));
        other.offer(new RecordedCall(log, "first", Importance.NORMAL, 0, FAR), 0);
        other.release(100, 100, ConcurrencyLimit.Outcome.ANSWERED, 0);
        other.offer(new RecordedCall(log, "second", Importance.NORMAL, 0, FAR), 1_100_000_000L);
        other.release(1_100_000_100L, 100, ConcurrencyLimit.Outcome.ANSWERED, 0);
        other.offer(new RecordedCall(log, "third", Importance.NORMAL, 0, FAR), 1_100_000_200L);
        other.offer(new RecordedCall(log, "late", Importance.NORMAL, 0, 1_100_000_300L), 1_100_000_200L);
        other.release(1_100_000_250L, 100, ConcurrencyLimit.Outcome.ANSWERED, 0);
        assertTrue(log.contains("late DEADLINE"), log.toString());
    }

    @Test
    void followsTheSlotsThatTheUpstreamAnnounces() {
        SlotLimit slots = SlotLimit.of(1);
        Gate other = Gate.of(new GateSettings(true, 0, 8, 10, QueueOrder.DUE), slots);
        other.offer(new RecordedCall(log, "a", Importance.LOW, 0, FAR), 0);
        other.offer(new RecordedCall(log, "b", Importance.LOW, 0, FAR), 0);
        assertEquals(List.of("a admitted"), log);
        slots.announce(100);
        other.limitsChanged(0);
        assertEquals(List.of("a admitted", "b admitted"), log);
        assertEquals(94, other.limit());
    }

    @Test
    void raisesItsLevelUnderOverloadAndLowersItAfter() {
        for (int window = 0; window < 3; window++) {
            for (int i = 0; i < 50; i++) {
                offer("w" + window + "-" + i, Importance.NORMAL, 0, FAR);
            }
            release();
            gate.endWindow();
        }
        assertTrue(gate.level() > 0);
        for (int window = 0; window < 20; window++) {
            gate.endWindow();
        }
        assertEquals(0, gate.level());
    }

    private void offer(String name, Importance importance, int depth, long deadline) {
        gate.offer(new RecordedCall(log, name, importance, depth, deadline), 0);
    }

    private void release() {
        gate.release(0, 0, ConcurrencyLimit.Outcome.ANSWERED, 0);
    }
}
