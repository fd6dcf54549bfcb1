package org.verbenadyke.examples;

import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.admission.AdaptiveLimit;
import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.LimitSettings;
import org.verbenadyke.kernel.admission.WaitingCall;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;

/**
 * Uses the kernel's admission alone, in front of any work of one's own: important work first, what can't be done in
 * time refused at once.
 */
public final class EmbeddedGate {
    private final Gate gate = Gate.of(GateSettings.standard(), AdaptiveLimit.of(new LimitSettings(4, 1, 100)));
    private final AtomicInteger sequence = new AtomicInteger();

    private EmbeddedGate() {}

    /**
     * Creates a gate.
     *
     * @return the gate
     */
    public static EmbeddedGate create() {
        return new EmbeddedGate();
    }

    /**
     * Runs some work now, later or never.
     *
     * @param importance how much it matters
     * @param work the work
     * @param refused is run instead when the work is refused; it was not run then and won't be
     */
    public void run(Importance importance, Runnable work, Runnable refused) {
        gate.offer(new Work(importance, work, refused, sequence.incrementAndGet()), System.nanoTime());
    }

    /**
     * A piece of work as the gate sees it.
     */
    private final class Work implements WaitingCall {
        private static final long PATIENCE_NANOS = 1_000_000_000L;

        private final Importance importance;
        private final Runnable work;
        private final Runnable refused;
        private final int number;
        private final long deadline = System.nanoTime() + PATIENCE_NANOS;

        private Work(Importance importance, Runnable work, Runnable refused, int number) {
            this.importance = importance;
            this.work = work;
            this.refused = refused;
            this.number = number;
        }

        @Override
        public Importance importance() {
            return importance;
        }

        @Override
        public int rank() {
            return importance.rank(new RequestId(1, number), false);
        }

        @Override
        public int depth() {
            return 0;
        }

        @Override
        public long deadlineNanos() {
            return deadline;
        }

        @Override
        public void admitted() {
            long start = System.nanoTime();
            work.run();
            gate.release(System.nanoTime(), System.nanoTime() - start, ConcurrencyLimit.Outcome.ANSWERED, 0);
        }

        @Override
        public void shed(RefusalReason reason) {
            refused.run();
        }
    }
}
