package org.verbenadyke.kernel.trace;

import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.follow.PlanStatus;
import org.verbenadyke.kernel.notice.RateChange;
import org.verbenadyke.kernel.quarantine.CrashFinding;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.route.ShareChange;

/**
 * A decision that an operator may want to understand later, with the facts that led to it.
 */
public sealed interface Decision {
    /**
     * A request of an external caller ended without an answer of an upstream.
     *
     * @param request the request id set by the caller
     * @param chain the request id used between nodes
     * @param route the route it matched, empty if none
     * @param planVersion the version of the route plan it was matched against
     * @param state whether it ran
     * @param reason why it was refused
     * @param retryAfterMillis the Retry-After delay, in milliseconds; 0 if there was none
     * @param elapsedMillis the time until it was refused, in milliseconds
     */
    record Refused(
            String request,
            String chain,
            String route,
            long planVersion,
            RunState state,
            RefusalReason reason,
            long retryAfterMillis,
            long elapsedMillis)
            implements Decision {}

    /**
     * A request was refused because its caller could not be identified.
     *
     * @param request the request id set by the caller
     * @param planVersion the version of the route plan whose teams were searched
     * @param fault what is wrong with the API key of the request
     * @param planAgeMillis how long ago the plan was known to be complete, in milliseconds
     */
    record CallerUnidentified(String request, long planVersion, String fault, long planAgeMillis) implements Decision {}

    /**
     * A request was refused because no route of the plan matches it.
     *
     * @param request the request id set by the caller
     * @param plan what this node knew of its plan
     */
    record NoRoute(String request, PlanStatus plan) implements Decision {}

    /**
     * A request got an upstream's answer with an error status.
     *
     * @param request the request id set by the caller
     * @param chain the request id used between nodes
     * @param route the route it matched
     * @param planVersion the version of the route plan it was matched against
     * @param status the HTTP status
     * @param elapsedMillis the time until the answer began, in milliseconds
     */
    record Failed(String request, String chain, String route, long planVersion, int status, long elapsedMillis)
            implements Decision {}

    /**
     * A node refused a call that another node sent to it.
     *
     * @param chain the request that the call belongs to
     * @param upstream the upstream it was for
     * @param state whether it ran
     * @param reason why it was refused
     * @param inFlight the number of calls at the upstream and queued
     * @param limit the concurrency limit of the upstream
     * @param level the rank below which calls are refused here or deeper in the call chain
     */
    record CallRefused(
            RequestId chain, String upstream, RunState state, RefusalReason reason, int inFlight, int limit, int level)
            implements Decision {}

    /**
     * A node refused a call that another node sent to it, since the upstream accepts only so many calls per second.
     *
     * @param chain the request that the call belongs to
     * @param upstream the upstream it was for
     * @param perSecond the rate limit that the upstream names
     * @param ageMillis how long ago the upstream last named it, in milliseconds
     * @param retryAfterMillis the Retry-After delay, in milliseconds
     */
    record OverRateLimit(RequestId chain, String upstream, double perSecond, long ageMillis, long retryAfterMillis)
            implements Decision {}

    /**
     * A retry was requested.
     *
     * @param chain the request
     * @param service the service it calls
     * @param upstream the upstream that was tried before
     * @param reason why the retry was needed
     * @param granted whether the retry was made
     */
    record Retried(RequestId chain, String service, String upstream, RetryReason reason, boolean granted)
            implements Decision {}

    /**
     * A retry was charged to the allowance of this node, where its request entered, or denied by it.
     *
     * @param chain the request
     * @param importance its importance
     * @param charge the decision, with what was left at the service that had least
     */
    record AllowanceCharged(RequestId chain, Importance importance, RetryAllowance.Charge charge) implements Decision {}

    /**
     * A request that was not run by one upstream is sent to another one.
     *
     * @param chain the request
     * @param service the service it calls
     * @param upstream the upstream that did not run it
     * @param reason why that upstream did not run it
     */
    record Rerouted(RequestId chain, String service, String upstream, RefusalReason reason) implements Decision {}

    /**
     * The node colocated with an upstream was queried over a new connection for the execution status of an attempt.
     *
     * @param chain the request
     * @param attempt the attempt
     * @param upstream the upstream it was sent to
     * @param targetIncarnation the incarnation of the process that the attempt was sent to
     * @param queriedIncarnation the incarnation of the process that is queried
     */
    record StatusInquired(
            RequestId chain, CallId attempt, String upstream, long targetIncarnation, long queriedIncarnation)
            implements Decision {}

    /**
     * This node reported the execution status of an attempt of which it has no record.
     *
     * @param attempt the attempt
     * @param state the reported run state
     * @param reason why that state was reported
     * @param incarnation the incarnation of this process
     */
    record StatusReported(CallId attempt, RunState state, RefusalReason reason, long incarnation) implements Decision {}

    /**
     * A call ended without an answer of its upstream, which counts as no crash yet.
     *
     * @param chain the request that the call belongs to
     * @param upstream the upstream
     * @param digest the digest of the call; the same for every attempt and repetition of it
     * @param finding what is known of the upstream
     */
    record CallLost(RequestId chain, String upstream, RequestDigest digest, CrashFinding finding) implements Decision {}

    /**
     * An upstream crashed while it was running a call.
     *
     * @param chain the request that the call belongs to
     * @param upstream the upstream
     * @param digest the digest of the call; the same for every attempt and repetition of it
     * @param finding how the crash is known
     */
    record UpstreamCrashed(RequestId chain, String upstream, RequestDigest digest, CrashFinding finding)
            implements Decision {}

    /**
     * A request is quarantined from now on, because upstreams crashed while they were running it.
     *
     * @param digest the digest of the request
     * @param evidence the crashes: which upstreams, how long ago, reported by whom
     */
    record Quarantined(RequestDigest digest, String evidence) implements Decision {}

    /**
     * A request was refused because it is quarantined.
     *
     * @param chain the request
     * @param digest the digest of the request
     * @param retryAfterMillis the Retry-After delay, in milliseconds
     * @param evidence the crashes: which upstreams, how long ago, reported by whom
     */
    record QuarantineRefused(RequestId chain, RequestDigest digest, long retryAfterMillis, String evidence)
            implements Decision {}

    /**
     * An upstream was temporarily excluded from routing.
     *
     * @param upstream the upstream
     * @param chain the request whose failure caused the ejection
     */
    record Ejected(String upstream, RequestId chain) implements Decision {}

    /**
     * The share of a route's requests that is raised to a higher importance changed notably.
     *
     * @param change what changed, and the slot times that the share follows from
     */
    record ShareChanged(ShareChange change) implements Decision {}

    /**
     * The colocated upstream named, changed or ended its rate limit, or named one that can't be read.
     *
     * @param upstream the upstream
     * @param change what changed
     */
    record RateLimit(String upstream, RateChange change) implements Decision {}

    /**
     * The colocated upstream stated in an answer that it is leaving.
     *
     * @param upstream the upstream
     */
    record UpstreamLeaving(String upstream) implements Decision {}

    /**
     * Another node was discovered, or changed its state.
     *
     * @param node the node
     * @param state its state
     * @param incarnation its incarnation
     * @param version the version of its record
     * @param service the service of the colocated upstream, empty if none
     */
    record Member(String node, String state, long incarnation, long version, String service) implements Decision {}

    /**
     * A record was skipped because it can't be decoded or its key doesn't match its content. Other records are
     * unaffected.
     *
     * @param source the stream or the sender of the record
     * @param key its key, empty if it has none
     * @param reason what is wrong with the record
     */
    record RecordSkipped(String source, String key, String reason) implements Decision {}
}
