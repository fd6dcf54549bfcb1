package org.verbenadyke.kernel.trace;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * A decision that an operator may want to understand later, with what decided it.
 */
public sealed interface Decision {
    /**
     * A request entered and ended without an answer of an upstream.
     *
     * @param request the request, as its caller names it
     * @param chain the request, as nodes name it
     * @param route the route it matched, empty if none
     * @param planVersion the version of the routes it was matched against
     * @param state whether it ran
     * @param reason why it was refused
     * @param retryAfterMillis when its caller may come back, in milliseconds; 0 if not said
     * @param elapsedMillis how long it was held, in milliseconds
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
     * A request was refused since its caller isn't known.
     *
     * @param request the request, as its caller names it
     * @param planVersion the version of the configuration that was asked
     * @param fault what is wrong with the key that it brought
     * @param heartbeatAgeMillis how long ago some node was known to read the operators' record, in milliseconds
     */
    record CallerUnidentified(String request, long planVersion, String fault, long heartbeatAgeMillis)
            implements Decision {}

    /**
     * A request got an upstream's answer that says that it failed.
     *
     * @param request the request, as its caller names it
     * @param chain the request, as nodes name it
     * @param route the route it matched
     * @param planVersion the version of the routes it was matched against
     * @param status the HTTP status
     * @param elapsedMillis how long it was held until the answer began, in milliseconds
     */
    record Failed(String request, String chain, String route, long planVersion, int status, long elapsedMillis)
            implements Decision {}

    /**
     * A node turned a call away that another node sent it.
     *
     * @param chain the request it belongs to
     * @param upstream the upstream it was for
     * @param state whether it ran
     * @param reason why it was turned away
     * @param inFlight calls at the upstream and waiting
     * @param limit how many the upstream may have at once
     * @param level the rank below which calls are refused here and below
     */
    record CallRefused(
            RequestId chain, String upstream, RunState state, RefusalReason reason, int inFlight, int limit, int level)
            implements Decision {}

    /**
     * A retry was asked for.
     *
     * @param chain the request
     * @param service the service it calls
     * @param upstream the upstream that was tried before
     * @param reason why
     * @param granted whether it was made
     */
    record Retried(RequestId chain, String service, String upstream, RetryReason reason, boolean granted)
            implements Decision {}

    /**
     * A request that was not run where it was sent goes to another upstream.
     *
     * @param chain the request
     * @param service the service it calls
     * @param upstream the upstream that did not run it
     * @param reason why it was not run there
     */
    record Rerouted(RequestId chain, String service, String upstream, RefusalReason reason) implements Decision {}

    /**
     * The node beside an upstream was asked over a new connection what became of an attempt.
     *
     * @param chain the request
     * @param attempt the attempt
     * @param upstream the upstream it was sent to
     * @param targetIncarnation the incarnation of the process that the attempt was sent to
     * @param queriedIncarnation the incarnation of the process that is asked
     */
    record StatusInquired(
            RequestId chain, CallId attempt, String upstream, long targetIncarnation, long queriedIncarnation)
            implements Decision {}

    /**
     * This node told what became of an attempt of which it holds nothing.
     *
     * @param attempt the attempt
     * @param state what it said of the attempt
     * @param reason why
     * @param incarnation the incarnation of this process
     */
    record StatusReported(CallId attempt, RunState state, RefusalReason reason, long incarnation) implements Decision {}

    /**
     * An upstream ended while it had a call.
     *
     * @param chain the request that the call belongs to
     * @param upstream the upstream
     * @param digest what the call asked for; the same for every try and repeat of it
     */
    record UpstreamCrashed(RequestId chain, String upstream, RequestDigest digest) implements Decision {}

    /**
     * A request is held back from now on, since upstreams ended while they had it.
     *
     * @param digest what the request asks for
     * @param evidence the ends: which, how long ago, told by whom
     */
    record Quarantined(RequestDigest digest, String evidence) implements Decision {}

    /**
     * A request was not let through, since upstreams ended while they had it before.
     *
     * @param chain the request
     * @param digest what it asks for
     * @param retryAfterMillis after how long it may be tried again, in milliseconds
     * @param evidence the ends: which, how long ago, told by whom
     */
    record QuarantineRefused(RequestId chain, RequestDigest digest, long retryAfterMillis, String evidence)
            implements Decision {}

    /**
     * An upstream was taken out of the choice for a while.
     *
     * @param upstream the upstream
     * @param chain the request whose failure was the last straw
     */
    record Ejected(String upstream, RequestId chain) implements Decision {}

    /**
     * Another node was learned of, or changed its state.
     *
     * @param node the node
     * @param state its state
     * @param incarnation its incarnation
     * @param version the version of its record
     * @param service the service beside it, empty if none
     */
    record Member(String node, String state, long incarnation, long version, String service) implements Decision {}

    /**
     * A record was left out: it can't be read, or its key isn't the one that it is about. Those beside it hold.
     *
     * @param source the stream or the sender that it came from
     * @param key its key, empty if it has none
     * @param reason what is wrong with it
     */
    record RecordSkipped(String source, String key, String reason) implements Decision {}
}
