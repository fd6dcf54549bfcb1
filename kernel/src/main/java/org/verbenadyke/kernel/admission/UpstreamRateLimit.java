package org.verbenadyke.kernel.admission;

import org.verbenadyke.kernel.notice.AnnouncedRate;

/**
 * Limits how many calls per second are handed to an upstream, by a token bucket that follows the rate limit that the
 * upstream names. Without such a limit every call gets a token. Thread-safe.
 *
 * <p>Within any time t, at most burst + rate x t calls get a token.
 */
final class UpstreamRateLimit {
    /**
     * The capacity of the bucket, in seconds of the rate. Load pattern: nodes learn of a level from few answers, and so
     * calls arrive in bursts. What the rate allows between two bursts must not be lost.
     */
    private static final double BURST_SECONDS = 1.0;

    /** The smallest capacity of the bucket; with room for one call, a low rate is lost while no call is there. */
    private static final double MIN_BURST = 2;

    /**
     * The lowest rate, in calls per second. An upstream that accepts fewer, or none, still gets a call now and then:
     * only its answers tell that the limit has ended.
     */
    private static final double MIN_PER_SECOND = 0.5;

    /** How long a call may wait for a token, in nanoseconds; a call that would wait longer is better off elsewhere. */
    private static final long MAX_WAIT_NANOS = 50_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final AnnouncedRate announced;
    private double rate;
    private double tokens;
    private long refilledNanos;

    private UpstreamRateLimit(AnnouncedRate announced, long nowNanos) {
        this.announced = announced;
        this.refilledNanos = nowNanos;
    }

    /** Creates an empty bucket. */
    static UpstreamRateLimit following(AnnouncedRate announced, long nowNanos) {
        return new UpstreamRateLimit(announced, nowNanos);
    }

    boolean limited() {
        return announced.limited();
    }

    /** Returns the calls per second that get a token, {@link AnnouncedRate#UNLIMITED} without a limit. */
    double perSecond() {
        return Math.max(MIN_PER_SECOND, announced.perSecond());
    }

    /** Takes a token, if there is one. */
    boolean tryTake(long nowNanos) {
        if (!announced.limited()) {
            return true;
        }
        synchronized (this) {
            refill(nowNanos);
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }

    /** Returns a token that was taken for a call which is not handed over. */
    synchronized void putBack() {
        tokens = Math.min(tokens + 1, burst(rate));
    }

    /** Returns how many calls may wait for a token. */
    int maxWaiting(long nowNanos) {
        if (!announced.limited()) {
            return Integer.MAX_VALUE;
        }
        synchronized (this) {
            refill(nowNanos);
            return (int) Math.min(Integer.MAX_VALUE, tokens + rate * MAX_WAIT_NANOS / NANOS_PER_SECOND);
        }
    }

    /** Returns the time until there is a token, in nanoseconds; 0 if there is one. */
    long waitNanos(long nowNanos) {
        if (!announced.limited()) {
            return 0;
        }
        synchronized (this) {
            refill(nowNanos);
            return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / rate * NANOS_PER_SECOND);
        }
    }

    /** Adds the tokens since the last refill, at the rate that held; a newly named limit begins without tokens. */
    private void refill(long nowNanos) {
        long namedNanos = announced.namedNanos();
        if (rate == 0 || refilledNanos < namedNanos) {
            tokens = 0;
            refilledNanos = Math.max(refilledNanos, namedNanos);
            rate = perSecond();
        }
        long elapsed = Math.max(0, nowNanos - refilledNanos);
        tokens += rate * elapsed / NANOS_PER_SECOND;
        rate = perSecond();
        tokens = Math.min(tokens, burst(rate));
        refilledNanos += elapsed;
    }

    private static double burst(double perSecond) {
        return Math.max(MIN_BURST, perSecond * BURST_SECONDS);
    }
}
