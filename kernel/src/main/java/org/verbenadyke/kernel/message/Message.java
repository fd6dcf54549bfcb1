package org.verbenadyke.kernel.message;

import java.util.List;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * The messages between two nodes on one connection.
 */
public sealed interface Message {
    /** The version of the protocol. */
    int VERSION = 5;

    /**
     * The first message of both sides.
     *
     * @param version the protocol version
     * @param nodeId the sender's name
     * @param incarnation the sender's incarnation
     */
    record Hello(int version, String nodeId, long incarnation) implements Message {}

    /**
     * Shows that the connection carries messages, and lends the sender's clock to the receiver.
     *
     * @param senderClock the sender's monotonic clock, in nanoseconds
     */
    record Heartbeat(long senderClock) implements Message {}

    /**
     * One attempt of a request.
     *
     * @param id the attempt
     * @param request the request it belongs to
     * @param target where it goes
     * @param importance how much it matters
     * @param depth how many calls lie above it
     * @param ttlMicros how long the sender waits, in microseconds
     * @param dueMicros after how long the target latency of the request passes, in microseconds
     * @param receiverClock the newest clock that the receiver lent on this connection, in its nanoseconds; 0 if none
     * @param idempotent whether it may run more than once
     * @param key the idempotency key, empty if none
     * @param content what the upstream gets
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
            Content content)
            implements Message {}

    /**
     * Where a call goes.
     *
     * @param service the service
     * @param upstream the upstream's id
     */
    record Target(String service, String upstream) {}

    /**
     * Asks the node that deals a team's permits for some.
     *
     * @param ticket joins the answer to the question
     * @param node the name of the node that asks
     * @param team the team
     * @param leased permits that the node holds
     * @param returned permits that it gives back unused
     * @param needed permits for requests that wait
     * @param requested permits that it would like, those needed among them
     */
    record QuotaRequest(long ticket, String node, String team, int leased, int returned, int needed, int requested)
            implements Message {}

    /**
     * Answers a question for permits.
     *
     * @param ticket joins the answer to the question
     * @param team the team
     * @param fromAllocator whether the sender deals the team's permits now; else it must be asked again, or another
     *     node
     * @param granted permits for the node that asked
     * @param availableAfterMillis after how long another is free for it, in milliseconds; 0 if it got all that it needs
     */
    record QuotaReply(long ticket, String team, boolean fromAllocator, int granted, long availableAfterMillis)
            implements Message {}

    /**
     * What an upstream gets.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the header fields
     * @param body the whole body
     * @param team the name of the team that asks, empty if it isn't known
     */
    record Content(String method, String path, List<HeaderField> headers, byte[] body, String team) {
        /**
         * Creates the content of a request whose team isn't known.
         *
         * @param method the HTTP method
         * @param path the path and query
         * @param headers the header fields
         * @param body the whole body
         */
        public Content(String method, String path, List<HeaderField> headers, byte[] body) {
            this(method, path, headers, body, "");
        }
    }

    /**
     * What each answer tells of the node that gave it.
     *
     * @param inFlight calls handed to the upstream
     * @param limit how many may be handed to it
     * @param level the admission level of the node itself
     * @param directLevel the same for requests that come from callers and not from another upstream
     * @param draining whether the upstream is leaving
     * @param deeperLevel what it knows of the services that were called for the answer
     */
    record Report(int inFlight, int limit, int level, int directLevel, boolean draining, DeeperLevel deeperLevel) {
        /**
         * Returns the level of the call's path from the node down.
         *
         * @return the rank below which calls are refused
         */
        public int pathLevel() {
            return Math.max(level, deeperLevel.level());
        }
    }

    /**
     * The service that refuses most among those that a call leads to.
     *
     * @param service the service, empty if none was called
     * @param level the rank below which it refuses calls
     * @param ageMillis how long ago that was so, in milliseconds
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
     * @param retriesExhausted whether a failure was already retried as far as it may be, deeper in the chain
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
     * The end of a whole answer.
     *
     * @param id the attempt
     * @param length the length of the whole body
     */
    record End(CallId id, long length) implements Message {}

    /**
     * A refusal in place of an answer, or a broken answer after its head.
     *
     * @param id the attempt
     * @param refusal the refusal
     * @param report the state of the refusing node
     */
    record Refused(CallId id, Refusal refusal, Report report) implements Message {}

    /**
     * Allows more of an answer's body.
     *
     * @param id the attempt
     * @param bytes how many bytes more
     */
    record Credit(CallId id, int bytes) implements Message {}

    /**
     * Ends an attempt that nobody waits for.
     *
     * @param id the attempt
     */
    record Cancel(CallId id) implements Message {}

    /**
     * Asks for one retry out of the request's budget, from the node below to the node above.
     *
     * @param id the attempt that the asking node serves
     * @param ticket numbers the question
     */
    record Spend(CallId id, long ticket) implements Message {}

    /**
     * Answers {@link Spend}.
     *
     * @param id the attempt
     * @param ticket the question
     * @param granted whether the retry may be made
     */
    record Grant(CallId id, long ticket, boolean granted) implements Message {}

    /**
     * Asks over a new connection what became of an attempt. A receiver that never saw the attempt, and whose memory
     * reaches back to when it was sent, seals its id.
     *
     * @param id the attempt
     * @param targetIncarnation the incarnation of the process that it was sent to
     * @param targetClock the newest clock which that process had lent when it was sent, in its nanoseconds
     */
    record Inquire(CallId id, long targetIncarnation, long targetClock) implements Message {}

    /**
     * Asks a former owner of a key what it knows of it. A former owner that knows nothing gives the key up for good.
     *
     * @param ticket numbers the question
     * @param formerOwner the id of the former owner; another upstream at its address can't answer for it
     * @param newOwner the id of the upstream that owns the key now
     * @param vouchForPredecessors whether the former owner is also to say that nobody before it ran the key
     * @param key the key
     */
    record KeyQuery(long ticket, String formerOwner, String newOwner, boolean vouchForPredecessors, String key)
            implements Message {}

    /**
     * Answers {@link KeyQuery}, once the key's outcome is known.
     *
     * @param ticket the question
     * @param fact what the former owner knows
     */
    record KeyReply(long ticket, KeyFact fact) implements Message {}

    /**
     * Hands a settled key on, from a node that stops as planned.
     *
     * @param key the key
     * @param fingerprint a hash of what its try asked for
     * @param outcome its outcome
     */
    record KeyTransfer(String key, long fingerprint, StoredOutcome outcome) implements Message {}

    /**
     * Says that an upstream has handed on all its keys.
     *
     * @param upstream the upstream's id
     */
    record KeyTransferEnd(String upstream) implements Message {}

    /** Asks for the routes that the other node has. */
    record PlanRequest() implements Message {}

    /**
     * Tells the routes that a node has in force, as their operator wrote them.
     *
     * @param document the document
     */
    record PlanReply(byte[] document) implements Message {}

    /**
     * What a former owner knows of a key.
     */
    sealed interface KeyFact {
        /** It never ran the key and won't any more. */
        record NeverRan() implements KeyFact {}

        /** It can't tell, since it was itself not sure of the owners before it. */
        record Undetermined() implements KeyFact {}

        /**
         * It ran the key.
         *
         * @param fingerprint a hash of what the try asked for
         * @param outcome the outcome
         */
        record Known(long fingerprint, StoredOutcome outcome) implements KeyFact {}
    }
}
