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
 * Uses the kernel's admission control on its own, for any kind of work: important work runs first, and work that can't
 * run in time is refused at once.
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
     * @param importance the importance of the work
     * @param work the work
     * @param refused runs instead if the work is refused; the work has not run then and never will
     */
    public void run(Importance importance, Runnable work, Runnable refused) {
        gate.offer(new Work(importance, work, refused, sequence.incrementAndGet()), System.nanoTime());
    }

    /**
     * Adapts a piece of work to the gate's queue.
     */
    private final class Work implements WaitingCall {
        private static final long TIMEOUT_NANOS = 1_000_000_000L;

        private final Importance importance;
        private final Runnable work;
        private final Runnable refused;
        private final int number;
        private final long deadline = System.nanoTime() + TIMEOUT_NANOS;

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
