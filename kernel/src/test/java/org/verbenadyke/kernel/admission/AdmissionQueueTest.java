package org.verbenadyke.kernel.admission;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against shedding all calls of the kind with the shorter chains, where kinds share an importance. */
final class AdmissionQueueTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shedsCallsOfOneImportanceByRankWhereSharesAreGuaranteed(boolean sharesGuaranteed) {
        AdmissionQueue queue = AdmissionQueue.in(QueueOrder.DUE, () -> sharesGuaranteed);
        List<Waiting> calls = List.of(new Waiting(300, 3), new Waiting(400, 2), new Waiting(320, 2));
        calls.forEach(c -> queue.add(c, 0));
        List<WaitingCall> shed = Stream.generate(
                        () -> queue.pollToShed().orElseThrow().call())
                .limit(calls.size())
                .toList();
        assertEquals(sharesGuaranteed ? List.of(300, 320, 400) : List.of(320, 400, 300), ranks(shed));
    }

    private static List<Integer> ranks(List<WaitingCall> calls) {
        return calls.stream().map(WaitingCall::rank).toList();
    }

    /** A call of the normal importance with a given rank and depth. */
    private record Waiting(int rank, int depth) implements WaitingCall {
        @Override
        public Importance importance() {
            return Importance.NORMAL;
        }

        @Override
        public long deadlineNanos() {
            return Long.MAX_VALUE;
        }

        @Override
        public long dueNanos() {
            return 0;
        }

        @Override
        public void admitted() {}

        @Override
        public void shed(RefusalReason reason) {}
    }
}
