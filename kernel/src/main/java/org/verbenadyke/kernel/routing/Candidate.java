package org.verbenadyke.kernel.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.message.Message;

/**
 * An upstream together with what this node has seen of it. Survives the tables it stands in; safe for many threads.
 */
public final class Candidate {
    private static final double SMOOTHING = 0.2;
    private static final double ERROR_WEIGHT = 10;

    /** How much a filled upstream counts as slower than an empty one, before calls wait. */
    private static final double FILLING_WEIGHT = 1.5;

    /** How much each call that waits counts, as a share of the places. */
    private static final double WAITING_WEIGHT = 4;

    /** What another data centre costs: a round trip between two that are near each other. */
    private static final double AWAY_NANOS = 3_000_000;

    /** What it costs besides, as a share of the latency: bytes between data centres are paid for. */
    private static final double AWAY_SHARE = 0.05;

    private static final int EJECT_AFTER = 5;
    private static final double EJECT_ERROR_RATE = 0.5;
    private static final double ERROR_SMOOTHING = 0.1;
    private static final long FIRST_EJECTION_NANOS = 500_000_000L;
    private static final int EJECTION_DOUBLINGS = 4;

    /**
     * How long a shed call counts in full when none was shed since, in nanoseconds. Load pattern: an upstream that
     * sheds part of its calls is avoided, and then gives no news by which to tell that its trouble is over. One that
     * failed is not tried again so soon: a call that fails costs more than one that was never run.
     */
    private static final long FADE_NANOS = 250_000_000L;

    /** What is left of the shed rate after each such time: a fifth after two seconds, so that it is tried again. */
    private static final double FADE_SHARE = 0.8;

    private final Upstream upstream;
    private final boolean near;
    private final AtomicInteger sentSinceReport = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger failuresInRow = new AtomicInteger();
    private final ServiceLevels levels;
    private volatile SeenLevel level = SeenLevel.NONE;
    private volatile double latencyNanos;
    private volatile double errorRate;
    private volatile double reportedLoad = -1;
    private volatile int reportedLimit;
    private volatile boolean draining;
    private volatile long ejectedUntil = Long.MIN_VALUE;
    private volatile int ejections;
    private volatile double shedRate;
    private volatile long shedNanos;

    private Candidate(Upstream upstream, boolean near, ServiceLevels levels) {
        this.upstream = upstream;
        this.near = near;
        this.levels = levels;
    }

    /**
     * Creates a candidate of which nothing was seen yet.
     *
     * @param upstream the upstream
     * @param near whether it stands in the data centre of this node
     * @return the candidate
     */
    public static Candidate of(Upstream upstream, boolean near) {
        return new Candidate(upstream, near, ServiceLevels.empty());
    }

    /** Creates a candidate that passes on what its node reports of the levels of services. */
    static Candidate telling(Upstream upstream, boolean near, ServiceLevels levels) {
        return new Candidate(upstream, near, levels);
    }

    /**
     * Returns the upstream.
     *
     * @return the upstream
     */
    public Upstream upstream() {
        return upstream;
    }

    /**
     * Tells whether the upstream stands in the data centre of this node.
     *
     * @return whether it does
     */
    public boolean near() {
        return near;
    }

    /** Notes that a call is sent. */
    public void sent() {
        sentSinceReport.incrementAndGet();
        inFlight.incrementAndGet();
    }

    /** Notes that a sent call has ended, however. */
    public void ended() {
        inFlight.decrementAndGet();
    }

    /**
     * Notes a success.
     *
     * @param latency from sending to the head of the answer, in nanoseconds
     */
    public void succeeded(long latency) {
        double seen = latencyNanos;
        latencyNanos = seen == 0 ? latency : seen + SMOOTHING * (latency - seen);
        errorRate *= 1 - ERROR_SMOOTHING;
        shedRate *= 1 - ERROR_SMOOTHING;
        failuresInRow.set(0);
        ejections = 0;
    }

    /**
     * Notes a failure of the upstream or of its node.
     *
     * @param nowNanos the time
     * @return whether the failure took the upstream out of the choice
     */
    public boolean failed(long nowNanos) {
        errorRate += ERROR_SMOOTHING * (1 - errorRate);
        int row = failuresInRow.incrementAndGet();
        if (ejected(nowNanos) || row < EJECT_AFTER && errorRate < EJECT_ERROR_RATE) {
            return false;
        }
        ejectedUntil = nowNanos + (FIRST_EJECTION_NANOS << Math.min(ejections, EJECTION_DOUBLINGS));
        ejections++;
        failuresInRow.set(EJECT_AFTER - 1);
        errorRate = EJECT_ERROR_RATE / 2;
        return true;
    }

    /**
     * Notes that the upstream shed a call on its own: it is less attractive, but not broken. What it sheds takes no
     * time there, so that it looks idle and would else draw the more calls the more it sheds.
     *
     * @param nowNanos the time
     */
    public void shed(long nowNanos) {
        shedRate += ERROR_SMOOTHING * (1 - shedRate);
        shedNanos = nowNanos;
    }

    /**
     * Lets old sheds count less.
     *
     * @param nowNanos the time
     */
    public void fade(long nowNanos) {
        if (shedRate > 0 && nowNanos - shedNanos >= FADE_NANOS) {
            shedRate *= FADE_SHARE;
            shedNanos = nowNanos;
        }
    }

    /**
     * Takes a node's report about itself and the path below it.
     *
     * @param pathClass the class of the call that brought it
     * @param report the report
     * @param nowNanos the time
     */
    public void reported(String pathClass, Message.Report report, long nowNanos) {
        reportedLoad = report.limit() <= 0 ? 0 : (double) report.inFlight() / report.limit();
        sentSinceReport.set(0);
        reportedLimit = report.limit();
        draining |= report.draining();
        level = new SeenLevel(report.directLevel(), nowNanos);
        levels.heard(upstream, pathClass, report, nowNanos);
    }

    /**
     * Returns the admission level that the upstream's node reported of itself, for requests that come to it from
     * callers; it fades when no news comes.
     *
     * @param nowNanos the time
     * @return the rank below which a call would be refused
     */
    public int level(long nowNanos) {
        return level.faded(nowNanos);
    }

    /**
     * Returns the share of its concurrency limit that the upstream had in use when it was heard last.
     *
     * @return the share, from 0; empty before the first report
     */
    public Optional<Double> reportedLoad() {
        return reportedLoad < 0 ? Optional.empty() : Optional.of(reportedLoad);
    }

    /** Notes that the upstream is leaving. */
    public void drain() {
        draining = true;
    }

    /**
     * Tells whether the upstream may get new work.
     *
     * @return false when it is leaving
     */
    public boolean accepting() {
        return !draining;
    }

    /**
     * Tells whether the upstream is out of the choice for a while.
     *
     * @param nowNanos the time
     * @return whether it is ejected
     */
    public boolean ejected(long nowNanos) {
        return ejectedUntil != Long.MIN_VALUE && nowNanos - ejectedUntil < 0;
    }

    /**
     * Returns the load, for comparing candidates; smaller is better.
     *
     * @return the load, of no unit
     */
    public double score() {
        double waiting = inFlight.get() + 1.0;
        return waiting * (1 + Math.max(0, reportedLoad)) * penalty() * Math.max(1, Math.sqrt(latencyNanos));
    }

    /**
     * Returns the share of its places that the upstream has taken, with what was sent since it said so.
     *
     * @return the share, from 0; above 1 when calls wait
     */
    public double utilisation() {
        int limit = reportedLimit;
        if (limit <= 0) {
            return 0;
        }
        return Math.max(0, reportedLoad) + (double) sentSinceReport.get() / limit;
    }

    /**
     * Returns the smoothed latency of its answers.
     *
     * @return nanoseconds, 0 when none was seen
     */
    public double latencyNanos() {
        return latencyNanos;
    }

    /**
     * Returns when a call sent now is expected to be answered: the latency seen, more as the upstream fills up, more
     * when it fails, and a little more when it stands in another data centre.
     *
     * @param typicalNanos the latency that stands in while none was seen
     * @return the time from now, in nanoseconds
     */
    public double expectedLatencyNanos(double typicalNanos) {
        double u = utilisation();
        double filling = 1 + FILLING_WEIGHT * u * u * u + WAITING_WEIGHT * Math.max(0, u - 1);
        double seen = latencyNanos == 0 ? typicalNanos : latencyNanos;
        double away = near ? 0 : AWAY_NANOS + seen * AWAY_SHARE;
        return seen * filling * penalty() + away;
    }

    /** How much less attractive its failures and sheds make the upstream, as a factor of at least 1. */
    private double penalty() {
        return 1 + ERROR_WEIGHT * (errorRate + shedRate);
    }
}
