package org.verbenadyke.kernel.message;

import java.util.List;

import org.verbenadyke.kernel.budget.RetryDecision;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * The messages between two nodes on one connection.
 */
public sealed interface Message {
    /** The version of the protocol. */
    int VERSION = 8;

    /**
     * The first message of both sides.
     *
     * @param version the protocol version
     * @param nodeId the sender's name
     * @param incarnation the sender's incarnation
     */
    record Hello(int version, String nodeId, long incarnation) implements Message {}

    /**
     * Proves that the connection works, and sends the sender's clock reading to the receiver.
     *
     * @param senderClock the sender's monotonic clock, in nanoseconds
     */
    record Heartbeat(long senderClock) implements Message {}

    /**
     * One attempt of a request.
     *
     * @param id the attempt
     * @param request the request it belongs to
     * @param target the called service and upstream
     * @param importance the importance of the request
     * @param depth the depth in the call chain, 0 for a request from a caller
     * @param ttlMicros the time to live: how long the sender waits, in microseconds
     * @param dueMicros the time left until the target latency of the request passes, in microseconds
     * @param receiverClock the latest clock reading that the receiver sent on the connection, in the receiver's
     *     nanoseconds; 0 if none
     * @param idempotent whether the request may run more than once
     * @param key the idempotency key, empty if none
     * @param known what the sender knows the upstream to have stated about itself
     * @param usageRequested whether the reports of the call and of all nested calls carry their usage
     * @param repetition whether the call repeats an earlier one
     * @param content the request that the upstream receives
     */
    record Call(
            CallId id,
            RequestId request,
            Target target,
            Importance importance,
            int depth,
            long ttlMicros,
            long dueMicros,
            long receiverClock,
            boolean idempotent,
            String key,
            Stated known,
            boolean usageRequested,
            Repetition repetition,
            Content content)
            implements Message {
        /**
         * Returns the same call without its body.
         *
         * @return the call
         */
        public Call withoutBody() {
            if (content.body().length == 0) {
                return this;
            }
            return new Call(
                    id,
                    request,
                    target,
                    importance,
                    depth,
                    ttlMicros,
                    dueMicros,
                    receiverClock,
                    idempotent,
                    key,
                    known,
                    usageRequested,
                    repetition,
                    content.withoutBody());
        }
    }

    /**
     * The destination of a call.
     *
     * @param service the service
     * @param upstream the upstream's id
     */
    record Target(String service, String upstream) {}

    /**
     * Requests permits of a team from the node that allocates them.
     *
     * @param ticket correlates the reply with the request
     * @param node the name of the requesting node
     * @param team the team
     * @param leased permits that the node has leased
     * @param returned permits that the node returns unused
     * @param needed permits for waiting requests
     * @param requested permits that the node requests, including those needed
     */
    record QuotaRequest(long ticket, String node, String team, int leased, int returned, int needed, int requested)
            implements Message {}

    /**
     * Replies to a request for permits.
     *
     * @param ticket correlates the reply with the request
     * @param team the team
     * @param fromAllocator whether the sender is the permit allocator of the team at present; if not, the request must
     *     be repeated or sent to another node
     * @param granted permits allocated to the requesting node
     * @param availableAfterMillis the time until another permit is available to the node, in milliseconds; 0 if all
     *     needed permits were granted
     * @param surplusShare the share of the team's demand that is surplus, from 0 to 1
     */
    record QuotaReply(
            long ticket,
            String team,
            boolean fromAllocator,
            int granted,
            long availableAfterMillis,
            double surplusShare)
            implements Message {}

    /**
     * The HTTP request that an upstream receives.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the header fields
     * @param body the whole body
     * @param team the name of the calling team, empty if unknown
     */
    record Content(String method, String path, List<HeaderField> headers, byte[] body, String team) {
        /**
         * Creates the content of a request whose team is unknown.
         *
         * @param method the HTTP method
         * @param path the path and query
         * @param headers the header fields
         * @param body the whole body
         */
        public Content(String method, String path, List<HeaderField> headers, byte[] body) {
            this(method, path, headers, body, "");
        }

        /**
         * Returns the same content without its body.
         *
         * @return the content
         */
        public Content withoutBody() {
            return new Content(method, path, headers, new byte[0], team);
        }
    }

    /**
     * What one start of an upstream has stated about itself in its answers.
     *
     * @param start identifies the start, 0 if its identity isn't known
     * @param perSecond the requests per second that the upstream accepts, infinite if it named no limit
     * @param leaving whether it stated that it is leaving
     */
    record Stated(long start, double perSecond, boolean leaving) {
        /** The upstream has stated nothing. */
        public static final Stated NOTHING = new Stated(0, Double.POSITIVE_INFINITY, false);

        /**
         * Returns whether the upstream has stated nothing.
         *
         * @return whether it neither named a limit nor stated that it is leaving
         */
        public boolean isEmpty() {
            return !leaving && perSecond == Double.POSITIVE_INFINITY;
        }
    }

    /**
     * The load of the answering node, sent with each answer.
     *
     * @param inFlight calls handed to the upstream
     * @param limit the concurrency limit
     * @param level the admission level of the node itself
     * @param directLevel the admission level of the node for requests that come from callers and not from another
     *     upstream
     * @param draining whether the upstream is draining
     * @param stated what the upstream has stated about itself
     * @param deeperLevel the highest admission level among the services that were called for the answer
     * @param usage the slot time that the answered call took at each service, empty if not requested
     * @param calls the calls that were made for the answered call, without those that repeat an earlier one
     */
    record Report(
            int inFlight,
            int limit,
            int level,
            int directLevel,
            boolean draining,
            Stated stated,
            DeeperLevel deeperLevel,
            Usage usage,
            CallCounts calls) {
        /**
         * Creates the report of a node whose upstream has stated nothing about itself, without usage and calls.
         *
         * @param inFlight calls handed to the upstream
         * @param limit the concurrency limit
         * @param level the admission level of the node itself
         * @param directLevel the admission level of the node for requests that come from callers
         * @param draining whether the upstream is draining
         * @param deeperLevel the highest admission level among the services that were called for the answer
         */
        public Report(int inFlight, int limit, int level, int directLevel, boolean draining, DeeperLevel deeperLevel) {
            this(
                    inFlight,
                    limit,
                    level,
                    directLevel,
                    draining,
                    Stated.NOTHING,
                    deeperLevel,
                    Usage.NONE,
                    CallCounts.NONE);
        }

        /**
         * Returns the admission level of the call's path: the highest of the node and of the services deeper in the
         * call chain.
         *
         * @return the rank below which calls are refused
         */
        public int pathLevel() {
            return Math.max(level, deeperLevel.level());
        }
    }

    /**
     * The service with the highest admission level among those deeper in the call chain.
     *
     * @param service the service, empty if none was called
     * @param level the rank below which the service refuses calls
     * @param ageMillis the age of the level, in milliseconds
     */
    record DeeperLevel(String service, int level, int ageMillis) {
        /** No service was called. */
        public static final DeeperLevel NONE = new DeeperLevel("", 0, 0);
    }

    /**
     * The head of an answer.
     *
     * @param id the attempt
     * @param status the HTTP status
     * @param headers the header fields
     * @param retriesExhausted whether a failure was already retried as often as allowed deeper in the call chain, so
     *     that no further retry may follow
     * @param report the state of the answering node
     */
    record Head(CallId id, int status, List<HeaderField> headers, boolean retriesExhausted, Report report)
            implements Message {}

    /**
     * A fragment of an answer's body.
     *
     * @param id the attempt
     * @param offset the position of the fragment in the body
     * @param bytes the fragment
     */
    record Data(CallId id, long offset, byte[] bytes) implements Message {}

    /**
     * The end of a complete answer.
     *
     * @param id the attempt
     * @param length the length of the whole body
     */
    record End(CallId id, long length) implements Message {}

    /**
     * A refusal in place of an answer, or after the head of an answer that broke off.
     *
     * @param id the attempt
     * @param refusal the refusal
     * @param report the state of the refusing node
     */
    record Refused(CallId id, Refusal refusal, Report report) implements Message {}

    /**
     * Grants flow-control credit for more of an answer's body.
     *
     * @param id the attempt
     * @param bytes how many bytes more
     */
    record Credit(CallId id, int bytes) implements Message {}

    /**
     * Cancels an attempt whose answer is no longer awaited.
     *
     * @param id the attempt
     */
    record Cancel(CallId id) implements Message {}

    /**
     * Requests one retry from the retry budget of the request, sent from the called node to the calling node.
     *
     * @param id the attempt that the called node serves
     * @param ticket correlates the {@link Grant} with the message
     * @param calls the calls that the retry would make at each service of its chain
     */
    record Spend(CallId id, long ticket, CallCounts calls) implements Message {}

    /**
     * Replies to {@link Spend}.
     *
     * @param id the attempt
     * @param ticket the ticket of the {@link Spend}
     * @param decision whether the retry is allowed
     */
    record Grant(CallId id, long ticket, RetryDecision decision) implements Message {}

    /**
     * Inquires over a new connection about the outcome of an attempt. A receiver that never received the attempt, and
     * whose record of received ids reaches back to when the attempt was sent, seals its id.
     *
     * @param id the attempt
     * @param targetIncarnation the incarnation of the process that the attempt was sent to
     * @param targetClock the latest clock reading of that process known when the attempt was sent, in that process's
     *     nanoseconds
     */
    record Inquire(CallId id, long targetIncarnation, long targetClock) implements Message {}

    /**
     * Queries a former owner of a key for its record of the key. A former owner without a record seals the key for
     * good.
     *
     * @param ticket correlates the reply with the query
     * @param formerOwner the id of the former owner; another upstream at the same address can't answer for it
     * @param newOwner the id of the current owner of the key
     * @param vouchForPredecessors whether the former owner must also vouch that no owner before it ran the key
     * @param key the key
     */
    record KeyQuery(long ticket, String formerOwner, String newOwner, boolean vouchForPredecessors, String key)
            implements Message {}

    /**
     * Replies to {@link KeyQuery}, once the key's outcome is known.
     *
     * @param ticket the ticket of the {@link KeyQuery}
     * @param fact what the former owner knows
     */
    record KeyReply(long ticket, KeyFact fact) implements Message {}

    /**
     * Transfers a settled key from a node that shuts down as planned.
     *
     * @param key the key
     * @param fingerprint a hash of the request that used the key
     * @param outcome the outcome of the key
     */
    record KeyTransfer(String key, long fingerprint, StoredOutcome outcome) implements Message {}

    /**
     * Reports that an upstream has transferred all its keys.
     *
     * @param upstream the upstream's id
     */
    record KeyTransferEnd(String upstream) implements Message {}

    /** Requests the routes of the other node. */
    record PlanRequest() implements Message {}

    /**
     * Carries the routes in force on a node, as the operator wrote them.
     *
     * @param document the document
     */
    record PlanReply(byte[] document) implements Message {}
}
