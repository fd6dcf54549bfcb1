package org.verbenadyke.kernel.admission;

/**
 * A limit that never changes.
 */
public final class FixedLimit implements ConcurrencyLimit {
    private final int limit;

    private FixedLimit(int limit) {
        this.limit = limit;
    }

    /**
     * Creates a limit.
     *
     * @param limit the number of calls
     * @return the limit
     */
    public static FixedLimit of(int limit) {
        return new FixedLimit(limit);
    }

    @Override
    public int current() {
        return limit;
    }

    @Override
    public void finished(long nowNanos, long latencyNanos, int inFlight, Outcome outcome) {
        // A fixed limit doesn't depend on outcomes.
    }
}
