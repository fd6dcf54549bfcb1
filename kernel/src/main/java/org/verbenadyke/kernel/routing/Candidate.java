package org.verbenadyke.kernel.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.message.Message;

/**
 * An upstream with the statistics that this node collected about it. The router keeps the candidate when it replaces
 * its table. Thread-safe.
 */
public final class Candidate {
    private static final double SMOOTHING = 0.2;
    private static final double ERROR_WEIGHT = 10;

    /** How much slower a fully utilised upstream is assumed to be than an idle one, before calls queue. */
    private static final double UTILISATION_WEIGHT = 1.5;

    /** How much slower each queued call makes the upstream, where queued calls count as a share of the limit. */
    private static final double QUEUEING_WEIGHT = 4;

    /** Latency added for another data centre: a round trip between two neighbouring ones. */
    private static final double REMOTE_NANOS = 3_000_000;

    /** Further penalty for another data centre, as a share of the latency: traffic between data centres is charged. */
    private static final double REMOTE_SHARE = 0.05;

    private static final int EJECT_AFTER = 5;
    private static final double EJECT_ERROR_RATE = 0.5;
    private static final double ERROR_SMOOTHING = 0.1;
    private static final long FIRST_EJECTION_NANOS = 500_000_000L;
    private static final int EJECTION_DOUBLINGS = 4;

    /**
     * How long a shed call counts in full if no further call is shed, in nanoseconds. Load pattern: an upstream that
     * sheds part of its calls gets fewer calls, and then sends no reports that would show its recovery. An upstream
     * that failed is not tried again as soon: a failed call costs more than one that never ran.
     */
    private static final long SHED_DECAY_NANOS = 250_000_000L;

    /** Factor applied to the shed rate after each such time: a fifth is left after two seconds, so it is retried. */
    private static final double SHED_DECAY_FACTOR = 0.8;

    /**
     * The rate of failed or shed calls from which an upstream counts as impaired: half of what one such call adds, so
     * that it takes seven successes to make up for it.
     */
    private static final double IMPAIRED_RATE = 0.05;

    private final Upstream upstream;
    private final boolean local;
    private final AtomicInteger sentSinceReport = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger consecutiveFailures = new AtomicInteger();
    private final ServiceLevels levels;
    private final StatedNotices stated;
    private volatile ReportedLevel level = ReportedLevel.NONE;
    private volatile double latencyNanos;
    private volatile double errorRate;
    private volatile double reportedLoad = -1;
    private volatile int reportedLimit;
    private volatile boolean draining;
    private volatile long ejectedUntil = Long.MIN_VALUE;
    private volatile int consecutiveEjections;
    private volatile double shedRate;
    private volatile long shedNanos;

    private Candidate(Upstream upstream, boolean local, ServiceLevels levels, StatedNotices stated) {
        this.upstream = upstream;
        this.local = local;
        this.levels = levels;
        this.stated = stated;
    }

    /**
     * Creates a candidate without statistics.
     *
     * @param upstream the upstream
     * @param local whether it is in the data centre of this node
     * @return the candidate
     */
    public static Candidate of(Upstream upstream, boolean local) {
        return new Candidate(upstream, local, ServiceLevels.empty(), StatedNotices.empty());
    }

    /** Creates a candidate that adds what its node reports to the given levels and notices. */
    static Candidate sharing(Upstream upstream, boolean local, ServiceLevels levels, StatedNotices stated) {
        return new Candidate(upstream, local, levels, stated);
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
     * Returns whether the upstream is in the data centre of this node.
     *
     * @return whether it is
     */
    public boolean local() {
        return local;
    }

    /** Records that a call is sent. */
    public void sent() {
        sentSinceReport.incrementAndGet();
        inFlight.incrementAndGet();
    }

    /** Records that a sent call has ended, with any outcome. */
    public void recordCallEnd() {
        inFlight.decrementAndGet();
    }

    /**
     * Records a success.
     *
     * @param latency the time from sending to the head of the answer, in nanoseconds
     */
    public void succeeded(long latency) {
        double seen = latencyNanos;
        latencyNanos = seen == 0 ? latency : seen + SMOOTHING * (latency - seen);
        errorRate *= 1 - ERROR_SMOOTHING;
        shedRate *= 1 - ERROR_SMOOTHING;
        consecutiveFailures.set(0);
        consecutiveEjections = 0;
    }

    /**
     * Records a failure of the upstream or of its node.
     *
     * @param nowNanos the time
     * @return whether the failure ejected the upstream
     */
    public boolean failed(long nowNanos) {
        errorRate += ERROR_SMOOTHING * (1 - errorRate);
        int row = consecutiveFailures.incrementAndGet();
        if (ejected(nowNanos) || row < EJECT_AFTER && errorRate < EJECT_ERROR_RATE) {
            return false;
        }
        ejectedUntil = nowNanos + (FIRST_EJECTION_NANOS << Math.min(consecutiveEjections, EJECTION_DOUBLINGS));
        consecutiveEjections++;
        consecutiveFailures.set(EJECT_AFTER - 1);
        errorRate = EJECT_ERROR_RATE / 2;
        return true;
    }

    /**
     * Records that the upstream itself shed a call: it becomes less attractive, but does not count as broken. Shed
     * calls take no time at the upstream, so that without this it would look idle and attract more calls the more it
     * sheds.
     *
     * @param nowNanos the time
     */
    public void shed(long nowNanos) {
        shedRate += ERROR_SMOOTHING * (1 - shedRate);
        shedNanos = nowNanos;
    }

    /**
     * Decays the shed rate when no call was shed for a while.
     *
     * @param nowNanos the time
     */
    public void decayShedRate(long nowNanos) {
        if (shedRate > 0 && nowNanos - shedNanos >= SHED_DECAY_NANOS) {
            shedRate *= SHED_DECAY_FACTOR;
            shedNanos = nowNanos;
        }
    }

    /**
     * Handles a report of the upstream's node about its load and about the services deeper in the call chain.
     *
     * @param pathClass the class of the call whose answer carried the report
     * @param report the report
     * @param nowNanos the time
     */
    public void reported(String pathClass, Message.Report report, long nowNanos) {
        reportedLoad = report.limit() <= 0 ? 0 : (double) report.inFlight() / report.limit();
        sentSinceReport.set(0);
        reportedLimit = report.limit();
        draining |= report.draining();
        level = new ReportedLevel(report.directLevel(), nowNanos);
        stated.reported(upstream.node(), report.stated());
        levels.received(upstream, pathClass, report, nowNanos);
    }

    /**
     * Returns the admission level that the upstream's node reported for direct requests of callers. The level decays
     * when no further report arrives.
     *
     * @param nowNanos the time
     * @return the rank below which a call would be refused
     */
    public int level(long nowNanos) {
        return level.decayed(nowNanos);
    }

    /**
     * Returns the share of its concurrency limit that the upstream had in use at its last report.
     *
     * @return the share, from 0; empty before the first report
     */
    public Optional<Double> reportedLoad() {
        return reportedLoad < 0 ? Optional.empty() : Optional.of(reportedLoad);
    }

    /**
     * Returns what the upstream beside its node was last known to state about itself, also to an earlier start of the
     * node.
     *
     * @return what it stated
     */
    public Message.Stated stated() {
        return stated.of(upstream.node());
    }

    /** Records that the upstream is draining. */
    public void drain() {
        draining = true;
    }

    /**
     * Returns whether the upstream may get new work.
     *
     * @return false when it is draining
     */
    public boolean accepting() {
        return !draining;
    }

    /**
     * Returns whether the upstream is temporarily excluded from routing.
     *
     * @param nowNanos the time
     * @return whether it is ejected
     */
    public boolean ejected(long nowNanos) {
        return ejectedUntil != Long.MIN_VALUE && nowNanos - ejectedUntil < 0;
    }

    /**
     * Returns whether the upstream failed or shed calls recently.
     *
     * @return whether it did
     */
    public boolean impaired() {
        return errorRate >= IMPAIRED_RATE || shedRate >= IMPAIRED_RATE;
    }

    /**
     * Returns a load score for comparing candidates; lower is better.
     *
     * @return the score, without a unit
     */
    public double score() {
        double outstanding = inFlight.get() + 1.0;
        return outstanding * (1 + Math.max(0, reportedLoad)) * penalty() * Math.max(1, Math.sqrt(latencyNanos));
    }

    /**
     * Returns the share of the upstream's concurrency limit in use: its last report plus the calls sent since.
     *
     * @return the share, from 0; above 1 when calls queue
     */
    public double utilisation() {
        int limit = reportedLimit;
        if (limit <= 0) {
            return 0;
        }
        return Math.max(0, reportedLoad) + (double) sentSinceReport.get() / limit;
    }

    /**
     * Returns the calls that the upstream answers in the time unit of the latency when all its slots are taken.
     *
     * @param typicalNanos the latency to assume while none was observed
     * @return the calls per nanosecond, assuming one slot before the first report
     */
    double throughput(double typicalNanos) {
        return Math.max(1, reportedLimit) / (latencyNanos == 0 ? typicalNanos : latencyNanos);
    }

    /**
     * Returns the smoothed latency of the upstream's answers.
     *
     * @return the latency in nanoseconds, 0 before the first answer
     */
    public double latencyNanos() {
        return latencyNanos;
    }

    /**
     * Returns the expected latency of a call sent now: the observed latency, scaled up with the upstream's utilisation
     * and failures, plus a penalty when the upstream is in another data centre.
     *
     * @param typicalNanos the latency to assume while none was observed
     * @return the expected latency, in nanoseconds
     */
    public double expectedLatencyNanos(double typicalNanos) {
        double u = utilisation();
        double slowdown = 1 + UTILISATION_WEIGHT * u * u * u + QUEUEING_WEIGHT * Math.max(0, u - 1);
        double seen = latencyNanos == 0 ? typicalNanos : latencyNanos;
        double remote = local ? 0 : REMOTE_NANOS + seen * REMOTE_SHARE;
        return seen * slowdown * penalty() + remote;
    }

    /** Returns the factor, at least 1, by which recent failures and sheds make the upstream less attractive. */
    private double penalty() {
        return 1 + ERROR_WEIGHT * (errorRate + shedRate);
    }
}
