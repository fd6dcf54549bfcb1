package org.verbenadyke.kernel.notice;

/**
 * The rate limit that one start of an upstream names in its answers. Thread-safe.
 *
 * <p>Answers overtake each other. An answer without a limit, or with a higher one, may be older than the answer that
 * named the limit, and counts only if its call was handed over after that answer had arrived. A lower limit counts at
 * once. A limit that can't be read changes nothing.
 */
public final class AnnouncedRate {
    /** The rate while there is no limit. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final RateChange UNCHANGED = new RateChange.Unchanged();
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private volatile double perSecond = UNLIMITED;
    private volatile long namedNanos;
    private long receivedNanos;
    private long handedOver;
    private volatile boolean heard;

    private AnnouncedRate() {}

    /**
     * Creates the rate of an upstream that has named no limit.
     *
     * @return the rate
     */
    public static AnnouncedRate unlimited() {
        return new AnnouncedRate();
    }

    /**
     * Handles the notice of an answer.
     *
     * @param notice the notice
     * @param handedOverNanos when the answered call was handed over
     * @param nowNanos the time
     * @return how the notice changed the limit
     */
    public RateChange received(RateNotice notice, long handedOverNanos, long nowNanos) {
        if (notice instanceof RateNotice.None && !limited()) {
            heard = true;
            return UNCHANGED;
        }
        synchronized (this) {
            heard |= !(notice instanceof RateNotice.Unreadable);
            return switch (notice) {
                case RateNotice.None n -> end(handedOverNanos, nowNanos);
                case RateNotice.Limit l -> change(l.perSecond(), handedOverNanos, nowNanos);
                case RateNotice.Unreadable u -> new RateChange.Rejected(u.text(), perSecond);
            };
        }
    }

    /**
     * Takes over the limit that another node heard the upstream name, unless the upstream has answered here.
     *
     * @param known the limit, in requests per second
     * @param nowNanos the time
     * @return how that changed the limit
     */
    public synchronized RateChange recall(double known, long nowNanos) {
        return heard || limited() || known == UNLIMITED ? UNCHANGED : change(known, nowNanos, nowNanos);
    }

    /** Counts a call that is handed over. */
    public void recordHandOver() {
        if (limited()) {
            synchronized (this) {
                handedOver++;
            }
        }
    }

    /**
     * Returns the limit.
     *
     * @return the requests per second, {@link #UNLIMITED} if there is no limit
     */
    public double perSecond() {
        return perSecond;
    }

    /**
     * Returns whether there is a limit.
     *
     * @return whether the upstream names one
     */
    public boolean limited() {
        return perSecond != UNLIMITED;
    }

    /**
     * Returns when the upstream began to name the limit.
     *
     * @return the time in nanoseconds; meaningless without a limit
     */
    public long namedNanos() {
        return namedNanos;
    }

    /**
     * Returns how long ago the limit was last received.
     *
     * @param nowNanos the time
     * @return the age in milliseconds; meaningless without a limit
     */
    public synchronized long ageMillis(long nowNanos) {
        return (nowNanos - receivedNanos) / NANOS_PER_MILLI;
    }

    private RateChange change(double next, long handedOverNanos, long nowNanos) {
        double before = perSecond;
        if (before == UNLIMITED) {
            namedNanos = nowNanos;
            handedOver = 0;
        } else if (next > before && handedOverNanos < receivedNanos) {
            return UNCHANGED;
        }
        receivedNanos = nowNanos;
        perSecond = next;
        if (next == before) {
            return UNCHANGED;
        }
        return before == UNLIMITED ? new RateChange.Named(next) : new RateChange.Changed(before, next);
    }

    private RateChange end(long handedOverNanos, long nowNanos) {
        if (!limited() || handedOverNanos < receivedNanos) {
            return UNCHANGED;
        }
        double last = perSecond;
        perSecond = UNLIMITED;
        return new RateChange.Ended(last, (nowNanos - namedNanos) / NANOS_PER_MILLI, handedOver);
    }
}
