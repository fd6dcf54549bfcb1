package org.verbenadyke.node.trace;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;
import org.verbenadyke.kernel.trace.LineRateLimiter;

/**
 * Writes decisions as structured log lines, a bounded number of each kind a second.
 */
public final class DecisionLogger implements DecisionLog {
    /** The field that names the kind of decision. */
    public static final String EVENT = "event";

    /** The field with a request's id as its caller names it. */
    public static final String REQUEST = "request";

    /** The field with a request's id as nodes name it. */
    public static final String CHAIN = "chain";

    /** The field with an attempt's id; it joins the lines of the node that sent it and the node that took it. */
    public static final String ATTEMPT = "attempt";

    /** The field that names what a request asks for, the same for every try and repeat of it. */
    public static final String DIGEST = "digest";

    private static final String ROUTE = "route";
    private static final String PLAN = "plan";
    private static final String EVIDENCE = "evidence";
    private static final Logger LOG = LogManager.getLogger("decision");

    /** Lines of each kind in a second: a few hundred bytes each, some kilobytes a second under the worst load. */
    private static final int LINES_MOST = 5;

    /**
     * Lines in a second on what upstreams had when they ended: all that one of some hundred places has at a common
     * load, about 20 KB. The call that ended it may be any of them.
     */
    private static final int ENDED_LINES_MOST = 64;

    private static final int FIELDS = 10;

    private final LineRateLimiter budget;
    private final LineRateLimiter endedBudget;

    private DecisionLogger(LineRateLimiter budget, LineRateLimiter endedBudget) {
        this.budget = budget;
        this.endedBudget = endedBudget;
    }

    /**
     * Creates a logger.
     *
     * @param timers the time
     * @return the logger
     */
    public static DecisionLogger on(TimerService timers) {
        return new DecisionLogger(LineRateLimiter.of(timers, LINES_MOST), LineRateLimiter.of(timers, ENDED_LINES_MOST));
    }

    @Override
    public void note(Decision decision) {
        String kind = kind(decision);
        int leftOut = (decision instanceof Decision.UpstreamCrashed ? endedBudget : budget).take(kind);
        if (leftOut < 0) {
            return;
        }
        StringMapMessage line = new StringMapMessage(FIELDS).with(EVENT, kind);
        fill(line, decision);
        if (leftOut > 0) {
            line.with("leftOut", leftOut);
        }
        LOG.info(line);
    }

    private static String kind(Decision decision) {
        return switch (decision) {
            case Decision.Refused d -> "refused-" + d.reason().label();
            case Decision.CallerUnidentified d -> "caller-unidentified";
            case Decision.Failed d -> "answered-failed";
            case Decision.CallRefused d -> "turned-away-" + d.reason().label();
            case Decision.Retried d -> "retried-" + d.reason().label();
            case Decision.Rerouted d -> "rerouted-" + d.reason().label();
            case Decision.StatusInquired d -> "fate-asked";
            case Decision.StatusReported d -> "fate-told";
            case Decision.UpstreamCrashed d -> "upstream-ended-under";
            case Decision.Quarantined d -> "request-quarantined";
            case Decision.QuarantineRefused d -> "request-held-back";
            case Decision.Ejected d -> "upstream-ejected";
            case Decision.Member d -> "member";
            case Decision.RecordSkipped d -> "record-skipped";
        };
    }

    private static void fill(StringMapMessage line, Decision decision) {
        switch (decision) {
            case Decision.Refused d -> fill(line, d);
            case Decision.CallerUnidentified d -> fill(line, d);
            case Decision.Failed d -> fill(line, d);
            case Decision.CallRefused d ->
                line.with(CHAIN, d.chain())
                        .with("upstream", d.upstream())
                        .with("runState", d.state().label())
                        .with("inFlight", d.inFlight())
                        .with("limit", d.limit())
                        .with("level", d.level());
            case Decision.Retried d ->
                line.with(CHAIN, d.chain())
                        .with("service", d.service())
                        .with("upstream", d.upstream())
                        .with("granted", d.granted());
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
            case Decision.UpstreamCrashed d ->
                line.with(CHAIN, d.chain()).with("upstream", d.upstream()).with(DIGEST, d.digest());
            case Decision.Quarantined d -> line.with(DIGEST, d.digest()).with(EVIDENCE, d.evidence());
            case Decision.QuarantineRefused d -> fill(line, d);
            case Decision.Ejected d -> line.with(CHAIN, d.chain()).with("upstream", d.upstream());
            case Decision.Member d ->
                line.with("node", d.node())
                        .with("state", d.state())
                        .with("incarnation", d.incarnation())
                        .with("version", d.version())
                        .with("service", d.service());
            case Decision.RecordSkipped d ->
                line.with("source", d.source()).with("key", d.key()).with("why", d.reason());
        }
    }

    private static void fill(StringMapMessage line, Decision.Refused d) {
        line.with(REQUEST, d.request())
                .with(CHAIN, d.chain())
                .with(ROUTE, d.route())
                .with(PLAN, d.planVersion())
                .with("runState", d.state().label())
                .with("retryAfterMs", d.retryAfterMillis())
                .with("heldMs", d.elapsedMillis());
    }

    private static void fill(StringMapMessage line, Decision.CallerUnidentified d) {
        line.with(REQUEST, d.request())
                .with(PLAN, d.planVersion())
                .with("fault", d.fault())
                .with("signAgeMs", d.heartbeatAgeMillis());
    }

    private static void fill(StringMapMessage line, Decision.Failed d) {
        line.with(REQUEST, d.request())
                .with(CHAIN, d.chain())
                .with(ROUTE, d.route())
                .with(PLAN, d.planVersion())
                .with("status", d.status())
                .with("heldMs", d.elapsedMillis());
    }

    private static void fill(StringMapMessage line, Decision.QuarantineRefused d) {
        line.with(CHAIN, d.chain())
                .with(DIGEST, d.digest())
                .with("retryAfterMs", d.retryAfterMillis())
                .with(EVIDENCE, d.evidence());
    }
}
