package org.verbenadyke.kernel.quota;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.team.RateLimit;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs all sequences of a few steps of an allocator and two nodes: requests for permits that arrive, are lost or whose
 * answers are lost, permits that are used, returned or expire. In none may the nodes together use more than the bucket
 * holds plus the refill.
 */
final class QuotaModelTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RateLimit LIMIT = new RateLimit(2, 3);
    private static final int STEPS = 6;

    private final QuotaSettings settings = QuotaSettings.with(QuotaTolerance.none());
    private long sequences;

    @Test
    void neverUsesMoreThanTheBucketHoldsPlusRefill() {
        explore(new ArrayList<>());
        assertTrue(sequences > 100_000, sequences + " sequences");
    }

    private void explore(List<Step> steps) {
        if (steps.size() == STEPS) {
            sequences++;
            new Run().play(steps);
            return;
        }
        for (Step step : Step.values()) {
            steps.add(step);
            explore(steps);
            steps.remove(steps.size() - 1);
        }
    }

    /** A step of a sequence. */
    private enum Step {
        A_ASKS,
        A_QUESTION_LOST,
        A_ANSWER_LOST,
        A_USES_TWO,
        A_GIVES_BACK,
        B_ASKS,
        B_USES_TWO,
        TIME_PASSES,
        LEASES_LAPSE
    }

    /** One sequence, starting with a full bucket. */
    private final class Run {
        private final List<Long> uses = new ArrayList<>();
        private PermitBucket bucket = new PermitBucket(settings, 0);
        private long now = 100 * SECOND;
        private long ticket;
        private final LeasedPermits a = new LeasedPermits(settings, now);
        private final LeasedPermits b = new LeasedPermits(settings, now);

        private void play(List<Step> steps) {
            steps.forEach(this::play);
            for (int first = 0; first < uses.size(); first++) {
                for (int last = first; last < uses.size(); last++) {
                    double window = (double) (uses.get(last) - uses.get(first)) / SECOND;
                    double bound = LIMIT.burst() + LIMIT.perSecond() * window;
                    assertTrue(last - first + 1 <= bound, uses + " after " + steps);
                }
            }
        }

        private void play(Step step) {
            switch (step) {
                case A_ASKS -> requestPermits("a", a, true, true);
                case A_QUESTION_LOST -> requestPermits("a", a, false, false);
                case A_ANSWER_LOST -> requestPermits("a", a, true, false);
                case A_USES_TWO -> useTwo(a);
                case A_GIVES_BACK -> giveBack();
                case B_ASKS -> requestPermits("b", b, true, true);
                case B_USES_TWO -> useTwo(b);
                case TIME_PASSES -> now += SECOND / 4;
                case LEASES_LAPSE -> now += settings.leaseNanos() + SECOND / 10;
                default -> throw new IllegalStateException(step.name());
            }
        }

        private void requestPermits(String node, LeasedPermits permits, boolean arrives, boolean answered) {
            Demand request = permits.request(++ticket, now);
            Demand demand = new Demand(request.leased(), request.returned(), 2, 2);
            if (arrives) {
                Allocation allocation = bucket.allocate(node, demand, LIMIT, 1, now);
                if (answered) {
                    permits.add(allocation, now);
                }
            }
            permits.clearPending();
        }

        private void useTwo(LeasedPermits permits) {
            for (int i = 0; i < 2; i++) {
                if (permits.take(now)) {
                    uses.add(now);
                }
            }
        }

        private void giveBack() {
            if (!uses.isEmpty() && uses.get(uses.size() - 1) == now) {
                uses.remove(uses.size() - 1);
                a.returnPermit(now);
            }
        }
    }
}
