package org.verbenadyke.kernel.admission;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.LongAdder;

import org.verbenadyke.kernel.call.Importance;

/**
 * The rank below which calls to an upstream are refused. Once per window the level is set from a histogram of the
 * arrived ranks, so that the admitted calls match the number that the upstream finished. The level rises at once under
 * overload and falls in growing steps after the overload has passed.
 */
public final class AdmissionLevel implements LevelControl {
    /** The length of a window in nanoseconds. */
    public static final long WINDOW_NANOS = 50_000_000L;

    private static final double OVERLOADED_SHARE = 0.95;
    private static final int FIRST_STEP = 16;
    private static final int STEP_GROWTH = 2;
    private static final int MIN_ARRIVALS = 4;
    private static final int MAX_RISE = 256;

    private final AtomicIntegerArray arrivals = new AtomicIntegerArray(Importance.RANKS);
    private final LongAdder finished = new LongAdder();
    private final LongAdder overloads = new LongAdder();
    private volatile int level;
    private int step = FIRST_STEP;

    private AdmissionLevel() {}

    /**
     * Creates a level that admits all calls.
     *
     * @return the level
     */
    public static AdmissionLevel open() {
        return new AdmissionLevel();
    }

    @Override
    public int current() {
        return level;
    }

    @Override
    public boolean arrive(int rank, int depth) {
        arrivals.incrementAndGet(rank);
        return rank >= level;
    }

    @Override
    public void finished() {
        finished.increment();
    }

    @Override
    public void overloaded() {
        overloads.increment();
    }

    @Override
    public void endWindow(GateLoad load) {
        int[] arrived = new int[Importance.RANKS];
        int total = 0;
        for (int i = 0; i < arrived.length; i++) {
            arrived[i] = arrivals.getAndSet(i, 0);
            total += arrived[i];
        }
        long done = finished.sumThenReset();
        boolean over = overloads.sumThenReset() > 0;
        if (over && total >= MIN_ARRIVALS) {
            raise(arrived, Math.max(1, (long) (done * OVERLOADED_SHARE)));
            return;
        }
        if (!over) {
            lower();
        }
    }

    private void raise(int[] arrived, long capacity) {
        step = FIRST_STEP;
        long admitted = 0;
        int rank = Importance.RANKS;
        while (rank > 0 && admitted + arrived[rank - 1] <= capacity) {
            rank--;
            admitted += arrived[rank];
        }
        if (rank > level) {
            level = Math.min(rank, level + MAX_RISE);
        }
    }

    private void lower() {
        if (level == 0) {
            step = FIRST_STEP;
            return;
        }
        level = Math.max(0, level - step);
        step = Math.min(Importance.RANKS, step * STEP_GROWTH);
    }
}
