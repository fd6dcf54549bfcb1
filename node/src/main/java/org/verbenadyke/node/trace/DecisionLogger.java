package org.verbenadyke.node.trace;

import java.util.OptionalInt;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.follow.PlanStatus;
import org.verbenadyke.kernel.notice.RateChange;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.route.ShareChange;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;
import org.verbenadyke.kernel.trace.LineRateLimiter;

/**
 * Logs decisions as structured lines, with a bounded number of lines of each kind per second.
 */
public final class DecisionLogger implements DecisionLog {
    /** The field that names the kind of decision. */
    public static final String EVENT = "event";

    /** The field with the request id that the caller assigned. */
    public static final String REQUEST = "request";

    /** The field with the request id that nodes use along the call chain. */
    public static final String CHAIN = "chain";

    /** The field with an attempt's id, which correlates the lines of the sending node and the receiving node. */
    public static final String ATTEMPT = "attempt";

    /** The field with the digest of a request's content, which is the same for every attempt and repetition. */
    public static final String DIGEST = "digest";

    private static final String ROUTE = "route";
    private static final String PLAN = "plan";
    private static final String EVIDENCE = "evidence";
    private static final String PER_SECOND = "perSecond";
    private static final Logger LOG = LogManager.getLogger("decision");

    /**
     * The maximum number of lines of each kind per second: at a few hundred bytes each, some kilobytes per second under
     * the worst load.
     */
    private static final int MAX_LINES_PER_SECOND = 5;

    /**
     * The maximum number of lines per second on requests in flight at the crash of an upstream: all requests that an
     * upstream with some hundred slots has in flight at a common load, about 20 KB. Any of the requests may have caused
     * the crash.
     */
    private static final int MAX_CRASH_LINES_PER_SECOND = 64;

    private static final int INITIAL_FIELD_CAPACITY = 10;
    private static final double NANOS_PER_MICRO = 1_000;

    private final LineRateLimiter lineBudget;
    private final LineRateLimiter crashLineBudget;

    private DecisionLogger(LineRateLimiter lineBudget, LineRateLimiter crashLineBudget) {
        this.lineBudget = lineBudget;
        this.crashLineBudget = crashLineBudget;
    }

    /**
     * Creates a logger.
     *
     * @param timers the clock and the timers
     * @return the logger
     */
    public static DecisionLogger on(TimerService timers) {
        return new DecisionLogger(
                LineRateLimiter.of(timers, MAX_LINES_PER_SECOND),
                LineRateLimiter.of(timers, MAX_CRASH_LINES_PER_SECOND));
    }

    @Override
    public void note(Decision decision) {
        String kind = kind(decision);
        int leftOut = (decision instanceof Decision.UpstreamCrashed ? crashLineBudget : lineBudget).take(kind);
        if (leftOut < 0) {
            return;
        }
        StringMapMessage line = new StringMapMessage(INITIAL_FIELD_CAPACITY).with(EVENT, kind);
        addFields(line, decision);
        if (leftOut > 0) {
            line.with("leftOut", leftOut);
        }
        LOG.info(line);
    }

    private static String kind(Decision decision) {
        return switch (decision) {
            case Decision.Refused d -> "refused-" + d.reason().label();
            case Decision.CallerUnidentified d -> "caller-unidentified";
            case Decision.NoRoute d -> "no-route";
            case Decision.Failed d -> "answered-failed";
            case Decision.CallRefused d -> "turned-away-" + d.reason().label();
            case Decision.OverRateLimit d -> "turned-away-upstream-limited";
            case Decision.Retried d -> "retried-" + d.reason().label();
            case Decision.AllowanceCharged d -> "retry-" + (d.charge().granted() ? "allowed" : "not-allowed");
            case Decision.Rerouted d -> "rerouted-" + d.reason().label();
            case Decision.StatusInquired d -> "fate-asked";
            case Decision.StatusReported d -> "fate-told";
            case Decision.CallLost d -> "call-lost-" + d.finding().label();
            case Decision.UpstreamCrashed d -> "upstream-ended-under";
            case Decision.Quarantined d -> "request-quarantined";
            case Decision.QuarantineRefused d -> "request-held-back";
            case Decision.Ejected d -> "upstream-ejected";
            case Decision.Member d -> "member";
            case Decision.RecordSkipped d -> "record-skipped";
            case Decision.ShareChanged d -> "share-changed";
            case Decision.RateLimit d -> kind(d.change());
            case Decision.UpstreamLeaving d -> "upstream-leaving";
        };
    }

    private static String kind(RateChange change) {
        return switch (change) {
            case RateChange.Unchanged c -> "rate-limit-unchanged";
            case RateChange.Named c -> "rate-limit-named";
            case RateChange.Changed c -> "rate-limit-changed";
            case RateChange.Ended c -> "rate-limit-ended";
            case RateChange.Rejected c -> "rate-limit-unreadable";
        };
    }

    private static void addFields(StringMapMessage line, Decision decision) {
        switch (decision) {
            case Decision.Refused d -> addFields(line, d);
            case Decision.CallerUnidentified d -> addFields(line, d);
            case Decision.NoRoute d -> addFields(line.with(REQUEST, d.request()), d.plan());
            case Decision.Failed d -> addFields(line, d);
            case Decision.CallRefused d ->
                line.with(CHAIN, d.chain())
                        .with("upstream", d.upstream())
                        .with("runState", d.state().label())
                        .with("inFlight", d.inFlight())
                        .with("limit", d.limit())
                        .with("level", d.level());
            case Decision.OverRateLimit d ->
                line.with(CHAIN, d.chain())
                        .with("upstream", d.upstream())
                        .with(PER_SECOND, d.perSecond())
                        .with("namedMsAgo", d.ageMillis())
                        .with("retryAfterMs", d.retryAfterMillis());
            case Decision.Retried d ->
                line.with(CHAIN, d.chain())
                        .with("service", d.service())
                        .with("upstream", d.upstream())
                        .with("granted", d.granted());
            case Decision.AllowanceCharged d ->
                addFields(line.with(CHAIN, d.chain()).with("importance", d.importance()), d.charge());
            case Decision.Rerouted d ->
                line.with(CHAIN, d.chain()).with("service", d.service()).with("upstream", d.upstream());
            case Decision.StatusInquired d ->
                line.with(CHAIN, d.chain())
                        .with(ATTEMPT, d.attempt())
                        .with("upstream", d.upstream())
                        .with("sentTo", d.targetIncarnation())
                        .with("asked", d.queriedIncarnation());
            case Decision.StatusReported d ->
                line.with(ATTEMPT, d.attempt())
                        .with("runState", d.state().label())
                        .with("reason", d.reason().label())
                        .with("incarnation", d.incarnation());
            case Decision.CallLost d -> addFields(line, d.chain(), d.upstream(), d.digest());
            case Decision.UpstreamCrashed d ->
                addFields(line.with("finding", d.finding().label()), d.chain(), d.upstream(), d.digest());
            case Decision.Quarantined d -> line.with(DIGEST, d.digest()).with(EVIDENCE, d.evidence());
            case Decision.QuarantineRefused d -> addFields(line, d);
            case Decision.Ejected d -> line.with(CHAIN, d.chain()).with("upstream", d.upstream());
            case Decision.Member d ->
                line.with("node", d.node())
                        .with("state", d.state())
                        .with("incarnation", d.incarnation())
                        .with("version", d.version())
                        .with("service", d.service());
            case Decision.RecordSkipped d ->
                line.with("source", d.source()).with("key", d.key()).with("why", d.reason());
            case Decision.ShareChanged d -> addFields(line, d.change());
            case Decision.RateLimit d -> addFields(line.with("upstream", d.upstream()), d.change());
            case Decision.UpstreamLeaving d -> line.with("upstream", d.upstream());
        }
    }

    private static void addFields(StringMapMessage line, RequestId chain, String upstream, RequestDigest digest) {
        line.with(CHAIN, chain).with("upstream", upstream).with(DIGEST, digest);
    }

    private static void addFields(StringMapMessage line, RetryAllowance.Charge charge) {
        line.with("service", charge.service()).with("calls", charge.calls()).with("left", charge.left());
    }

    private static void addFields(StringMapMessage line, ShareChange change) {
        OptionalInt team = change.teamPriority();
        line.with(ROUTE, change.route())
                .with("teamPriority", team.isPresent() ? Integer.toString(team.getAsInt()) : "")
                .with("importance", change.importance())
                .with("before", change.before())
                .with("share", change.share())
                .with("bottleneck", change.basis().bottleneck())
                .with("ownSlotUs", Math.round(change.basis().ownNanos() / NANOS_PER_MICRO))
                .with("aboveSlotUs", Math.round(change.basis().aboveNanos() / NANOS_PER_MICRO));
    }

    private static void addFields(StringMapMessage line, RateChange change) {
        switch (change) {
            case RateChange.Unchanged c -> line.with(PER_SECOND, "");
            case RateChange.Named c -> line.with(PER_SECOND, c.perSecond());
            case RateChange.Changed c -> line.with(PER_SECOND, c.perSecond()).with("before", c.before());
            case RateChange.Ended c ->
                line.with(PER_SECOND, c.perSecond())
                        .with("heldMs", c.heldMillis())
                        .with("handedOver", c.handedOver());
            case RateChange.Rejected c -> line.with(PER_SECOND, c.perSecond()).with("received", c.text());
        }
    }

    private static void addFields(StringMapMessage line, PlanStatus plan) {
        line.with(PLAN, plan.version())
                .with("inForceMs", plan.inForceMillis())
                .with("from", plan.source())
                .with("highestHeard", plan.highestHeard())
                .with("answerAgeMs", plan.answerAgeMillis())
                .with("signAgeMs", plan.ageMillis());
    }

    private static void addFields(StringMapMessage line, Decision.Refused d) {
        line.with(REQUEST, d.request())
                .with(CHAIN, d.chain())
                .with(ROUTE, d.route())
                .with(PLAN, d.planVersion())
                .with("runState", d.state().label())
                .with("retryAfterMs", d.retryAfterMillis())
                .with("heldMs", d.elapsedMillis());
    }

    private static void addFields(StringMapMessage line, Decision.CallerUnidentified d) {
        line.with(REQUEST, d.request())
                .with(PLAN, d.planVersion())
                .with("fault", d.fault())
                .with("signAgeMs", d.planAgeMillis());
    }

    private static void addFields(StringMapMessage line, Decision.Failed d) {
        line.with(REQUEST, d.request())
                .with(CHAIN, d.chain())
                .with(ROUTE, d.route())
                .with(PLAN, d.planVersion())
                .with("status", d.status())
                .with("heldMs", d.elapsedMillis());
    }

    private static void addFields(StringMapMessage line, Decision.QuarantineRefused d) {
        line.with(CHAIN, d.chain())
                .with(DIGEST, d.digest())
                .with("retryAfterMs", d.retryAfterMillis())
                .with(EVIDENCE, d.evidence());
    }
}
