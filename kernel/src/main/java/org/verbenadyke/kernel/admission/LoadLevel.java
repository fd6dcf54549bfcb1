package org.verbenadyke.kernel.admission;

import java.util.concurrent.atomic.AtomicLongArray;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;

/**
 * A level from the load that arrives, for chains in which a refused call wastes the work above it.
 *
 * <p>Load pattern: demand stays above what the deepest service can do for seconds, and each request that is let in
 * at the entry makes its calls there some hundred milliseconds later, and for some hundred more. What helps is to
 * refuse requests at the entry, so that the calls of those let in are all served. The level tells the entry how much to
 * refuse: once a period, the share that is let in is multiplied by a power of how far the load lies from its target.
 * The power, and a period about half as long as a change takes to show, keep the level from answering the same overload
 * several times over.
 *
 * <p>Requests that come here from callers are refused by a share of the level, if they hold a place for a shorter time
 * than the calls that fill it. Load pattern: calls that wait for a deeper service hold the places of this one; refusing
 * what never goes there frees few of them.
 *
 * <p>Calls inside a chain are never refused by the level, since work was done for them; nor is the most important band.
 */
public final class LoadLevel implements LevelControl {
    /** Windows in a period: 300 ms, in which about half of the calls of a request that was let in have arrived. */
    static final int PERIOD_WINDOWS = 6;

    /** The load aimed at: some room is left for the chance of arrivals within a period. */
    private static final double TARGET_LOAD = 0.97;

    /** Loads up to here and down to {@link #LOW_LOAD} change nothing, so that the level rests between two loads. */
    private static final double HIGH_LOAD = 1.0;

    private static final double LOW_LOAD = 0.94;

    /** The most that a period lets in less, as a share of what it let in before. */
    private static final double MIN_SHRINK_FACTOR = 0.5;

    /**
     * The most that a period lets in more. Load pattern: clumps well above a mean that fits. What a clump made the
     * level refuse must be let in again before the next one, or the places of the calm between them stay empty; and no
     * faster than that a return is caught before the queue is full.
     */
    private static final double MAX_GROWTH_FACTOR = 1.25;

    /** Below this share, a band counts as shut and the next one is begun. */
    private static final double CLOSED_SHARE = 0.03;

    /**
     * The share of the arrivals up to which a band counts as having nothing more to give. Above it, calls of requests
     * let in earlier still come, or other entries have not heard yet; more important requests must not pay for that.
     */
    private static final double EXHAUSTED_SHARE = 0.03;

    /** The power of the correction: less than 1, since a change takes about two periods to show in full. */
    private static final double CORRECTION_EXPONENT = 0.75;

    /** The bands that may be refused: all but the most important. */
    private static final int REFUSABLE_BANDS = Importance.values().length - 1;

    private final AtomicLongArray arrivals = new AtomicLongArray(Importance.values().length);
    private int windows;
    private int band;
    private double admittedShare = 1;
    private volatile int level;
    private volatile int direct;

    private LoadLevel() {}

    /**
     * Creates a level that admits everything.
     *
     * @return the level
     */
    public static LoadLevel open() {
        return new LoadLevel();
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
    public void finished() {
        // The load is taken from what arrives.
    }

    @Override
    public void overloaded() {
        // The load is taken from what arrives.
    }

    @Override
    public void endWindow(GateLoad load) {
        windows++;
        if (windows < PERIOD_WINDOWS) {
            return;
        }
        windows = 0;
        long inBand = arrivals.get(band);
        long arrived = 0;
        for (int i = 0; i < arrivals.length(); i++) {
            arrived += arrivals.getAndSet(i, 0);
        }
        double offered = (arrived + load.queued()) * (double) load.holdNanos();
        double able = (double) load.limit() * PERIOD_WINDOWS * AdmissionLevel.WINDOW_NANOS;
        adjust(offered / able, (double) inBand / Math.max(1, arrived));
        direct = (int) Math.round(level * directShare(load));
    }

    /**
     * The share of the level that direct requests are refused by: the room of one beside a mean call's, squared,
     * since a request of a chain makes several calls here.
     */
    private static double directShare(GateLoad load) {
        boolean known = load.directHoldNanos() > 0 && load.holdNanos() > 0;
        if (!known) {
            return 1;
        }
        double room = (double) load.directHoldNanos() / load.holdNanos();
        return Math.min(1, room * room);
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
