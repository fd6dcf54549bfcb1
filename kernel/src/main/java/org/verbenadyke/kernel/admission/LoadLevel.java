package org.verbenadyke.kernel.admission;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BooleanSupplier;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;

/**
 * Sets the admission level from the arriving load, for call chains in which a refused call wastes the work of the
 * calling nodes.
 *
 * <p>Load pattern: demand exceeds the capacity of the deepest service for seconds. Each request that is admitted at the
 * entry makes its calls to that service some hundred milliseconds later, and for some hundred more. Refusing requests
 * at the entry helps, since all calls of the admitted requests can then be served. The level sets how much the entry
 * refuses: once per period, the admitted share is multiplied by a power of the ratio of target load to measured load.
 * The exponent, and a period about half as long as a change takes to show, keep the level from reacting to the same
 * overload several times.
 *
 * <p>Requests that come from callers are refused below a share of the level, if they hold a slot for a shorter time
 * than the mean call. Load pattern: calls that wait for a deeper service hold the slots of the local one; refusing
 * requests that never reach the deeper service frees few of those slots.
 *
 * <p>Calls inside a chain are never refused by the level, since work was already done for them; nor are requests of the
 * most important band.
 */
public final class LoadLevel implements LevelControl {
    /** Windows per period: 300 ms, in which about half of the calls of an admitted request have arrived. */
    static final int PERIOD_WINDOWS = 6;

    /**
     * How many times a rate limit may be asked for before the level rises. A call over the limit is refused at once and
     * unrun, while room in the limit that no call uses is lost.
     */
    private static final double RATE_LIMIT_MARGIN = 1.5;

    private static final double PERIOD_SECONDS = PERIOD_WINDOWS * AdmissionLevel.WINDOW_NANOS / 1e9;

    /** The target load; the rest is spare capacity for random variation of arrivals within a period. */
    private static final double TARGET_LOAD = 0.97;

    /**
     * Loads between {@link #LOW_LOAD} and this value leave the level unchanged, so that the level doesn't oscillate.
     */
    private static final double HIGH_LOAD = 1.0;

    private static final double LOW_LOAD = 0.94;

    /** The smallest factor by which one period may reduce the admitted share. */
    private static final double MIN_SHRINK_FACTOR = 0.5;

    /**
     * The largest factor by which one period may raise the admitted share. Load pattern: bursts well above a mean load
     * that fits. What the level refuses because of one burst must be admitted again before the next one, or slots stay
     * empty in the calm between bursts. The growth must also be slow enough that a returning overload is detected
     * before the queue is full.
     */
    private static final double MAX_GROWTH_FACTOR = 1.25;

    /** The admitted share below which a band counts as closed, so that the next band may be refused as well. */
    private static final double CLOSED_SHARE = 0.03;

    /**
     * The share of all arrivals below which a closed band counts as exhausted. Above that share, calls of requests
     * admitted earlier still arrive, or other entry nodes have not received the level yet; more important requests must
     * not be refused for that.
     */
    private static final double EXHAUSTED_SHARE = 0.03;

    /**
     * The arrivals of one period from which on a band without any is empty and not just rarely used: among so many, a
     * band with {@link #EXHAUSTED_SHARE} of the calls has none with a probability of 0.01.
     */
    private static final int MIN_ARRIVALS_TO_SKIP = 150;

    /** The exponent of the correction: less than 1, since a change takes about two periods to take full effect. */
    private static final double CORRECTION_EXPONENT = 0.75;

    /** The number of bands that may be refused: all but the most important one. */
    private static final int REFUSABLE_BANDS = Importance.values().length - 1;

    private final BooleanSupplier skipsEmptyBands;
    private final AtomicLongArray arrivals = new AtomicLongArray(Importance.values().length);
    private int windows;
    private int band;
    private double admittedShare = 1;
    private volatile int level;
    private volatile int direct;
    private volatile boolean resetRequested;

    private LoadLevel(BooleanSupplier skipsEmptyBands) {
        this.skipsEmptyBands = skipsEmptyBands;
    }

    /**
     * Creates a level that admits all calls.
     *
     * @param skipsEmptyBands whether a band without arrivals is skipped at once under overload, instead of being closed
     *     over several periods
     * @return the level
     */
    public static LoadLevel open(BooleanSupplier skipsEmptyBands) {
        return new LoadLevel(skipsEmptyBands);
    }

    @Override
    public int current() {
        return level;
    }

    @Override
    public int direct() {
        return direct;
    }

    @Override
    public boolean arrive(int rank, int depth) {
        if (depth == 0 && rank < direct) {
            return false;
        }
        arrivals.incrementAndGet(Math.min(rank / RequestId.BUCKETS, REFUSABLE_BANDS));
        return true;
    }

    @Override
    public void reset() {
        resetRequested = true;
    }

    @Override
    public void finished() {
        // Not used: the load is computed from arrivals.
    }

    @Override
    public void overloaded() {
        // Not used: the load is computed from arrivals.
    }

    @Override
    public void endWindow(GateLoad load) {
        if (resetRequested) {
            resetRequested = false;
            admitAll();
        }
        windows++;
        if (windows < PERIOD_WINDOWS) {
            return;
        }
        windows = 0;
        long[] inBands = new long[arrivals.length()];
        long arrived = 0;
        for (int i = 0; i < inBands.length; i++) {
            inBands[i] = arrivals.getAndSet(i, 0);
            arrived += inBands[i];
        }
        double offered = (arrived + load.queued()) * (double) load.holdNanos();
        double capacity = (double) load.limit() * PERIOD_WINDOWS * AdmissionLevel.WINDOW_NANOS;
        double slotLoad = offered / capacity;
        double rateLoad = (arrived + load.queued()) / (load.maxCallsPerSecond() * PERIOD_SECONDS * RATE_LIMIT_MARGIN);
        double measuredLoad = Math.max(slotLoad, rateLoad);
        boolean skips = measuredLoad > HIGH_LOAD && arrived >= MIN_ARRIVALS_TO_SKIP;
        if (skips && skipsEmptyBands.getAsBoolean()) {
            skipEmptyBands(inBands);
        }
        adjust(measuredLoad, (double) inBands[band] / Math.max(1, arrived));
        // A rate limit counts calls, however long they hold a slot.
        double share = rateLoad > slotLoad ? 1 : directShare(load);
        direct = (int) Math.round(level * share);
    }

    /**
     * Returns the share of the level that applies to direct requests: the ratio of their slot hold time to that of a
     * mean call, squared, since a request of a chain makes several calls to the local service.
     */
    private static double directShare(GateLoad load) {
        boolean known = load.directHoldNanos() > 0 && load.holdNanos() > 0;
        if (!known) {
            return 1;
        }
        double holdRatio = (double) load.directHoldNanos() / load.holdNanos();
        return Math.min(1, holdRatio * holdRatio);
    }

    private void adjust(double load, double arrivedInBand) {
        if (load > HIGH_LOAD) {
            admittedShare *= Math.max(MIN_SHRINK_FACTOR, Math.pow(TARGET_LOAD / load, CORRECTION_EXPONENT));
            if (admittedShare < CLOSED_SHARE) {
                closeBand(arrivedInBand);
            }
        } else if (load < LOW_LOAD && level > 0) {
            admittedShare *= load <= 0 ? MAX_GROWTH_FACTOR : Math.min(MAX_GROWTH_FACTOR, TARGET_LOAD / load);
            if (admittedShare >= 1) {
                previousBand();
            }
        }
        level = (int) Math.round((band + 1 - admittedShare) * RequestId.BUCKETS);
    }

    /**
     * Goes on to the next band from which calls arrive; stays if there is none that may be refused. Load pattern: the
     * requests of the lowest importance are all raised to the next one or go to other services, so that closing their
     * band over several periods would only delay the relief. Waiting calls are not counted: those of the lowest
     * importance wait as long as the overload lasts, and would prevent the skip when it is needed.
     */
    private void skipEmptyBands(long[] inBands) {
        int next = band;
        while (next < REFUSABLE_BANDS && inBands[next] == 0) {
            next++;
        }
        if (next > band && next < REFUSABLE_BANDS) {
            band = next;
            admittedShare = 1;
        }
    }

    private void admitAll() {
        band = 0;
        admittedShare = 1;
        level = 0;
        direct = 0;
    }

    private void closeBand(double arrivedInBand) {
        admittedShare = CLOSED_SHARE;
        if (arrivedInBand < EXHAUSTED_SHARE) {
            nextBand();
        }
    }

    private void nextBand() {
        if (band == REFUSABLE_BANDS - 1) {
            admittedShare = CLOSED_SHARE;
            return;
        }
        band++;
        admittedShare = 1;
    }

    private void previousBand() {
        if (band == 0) {
            admittedShare = 1;
            return;
        }
        band--;
        admittedShare = CLOSED_SHARE;
    }
}
