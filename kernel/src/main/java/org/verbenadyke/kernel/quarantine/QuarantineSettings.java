package org.verbenadyke.kernel.quarantine;

/**
 * When a request counts as the one that ends upstreams.
 *
 * @param heldFrom from how many ends on a request is held back
 * @param aloneFrom from how many ends on it runs at no upstream beside another suspect
 * @param holdNanos how long it is held back after the end that made it so, in nanoseconds
 * @param holdFactor how many times longer after each end more
 * @param holdMostNanos the longest that it is held back, in nanoseconds
 * @param turnNanos how long one upstream may try it before it is another's turn, in nanoseconds
 * @param keptNanos how long ends are remembered after the last of them, or after the hold, in nanoseconds
 * @param endsMost how many ends a node remembers
 */
public record QuarantineSettings(
        int heldFrom,
        int aloneFrom,
        long holdNanos,
        int holdFactor,
        long holdMostNanos,
        long turnNanos,
        long keptNanos,
        int endsMost) {
    private static final long SECOND = 1_000_000_000L;

    /**
     * The operators allow a request three upstreams. One end says nothing, as each end takes some dozen harmless
     * requests with it; two in a row are common among those, which are tried again beside the guilty one.
     */
    private static final int DEFAULT_HELD_FROM = 3;

    private static final int DEFAULT_ALONE_FROM = 2;

    /**
     * A trial that fails costs an upstream for some four seconds, a restart and a cold start; one in twenty seconds is
     * a twentieth of a service of four. A request that is held by mistake waits that long.
     */
    private static final long DEFAULT_HOLD_SECONDS = 20;

    /** Trials after 20, 80 and 320 s: two in the first two minutes, three in the first seven. */
    private static final int DEFAULT_HOLD_FACTOR = 4;

    /** A mended upstream is found within ten minutes. */
    private static final long DEFAULT_HOLD_MOST_SECONDS = 600;

    /** Some times what it takes to run the request: a trial begun at the end of a turn may meet the next one's. */
    private static final long DEFAULT_TURN_SECONDS = 1;

    private static final long DEFAULT_KEPT_SECONDS = 600;

    /** What some forty upstreams of a hundred places have when they end at once; some 200 bytes each, 0.8 MB. */
    private static final int DEFAULT_ENDS_MOST = 4_096;

    /**
     * Returns the settings in use.
     *
     * @return the settings
     */
    public static QuarantineSettings standard() {
        return new QuarantineSettings(
                DEFAULT_HELD_FROM,
                DEFAULT_ALONE_FROM,
                DEFAULT_HOLD_SECONDS * SECOND,
                DEFAULT_HOLD_FACTOR,
                DEFAULT_HOLD_MOST_SECONDS * SECOND,
                DEFAULT_TURN_SECONDS * SECOND,
                DEFAULT_KEPT_SECONDS * SECOND,
                DEFAULT_ENDS_MOST);
    }

    /** Returns how long a request is held back after the newest of so many ends. */
    long holdAfter(int ends) {
        long hold = holdNanos;
        for (int i = heldFrom; i < ends && hold < holdMostNanos; i++) {
            hold *= holdFactor;
        }
        return Math.min(hold, holdMostNanos);
    }
}
