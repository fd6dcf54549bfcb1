package org.verbenadyke.kernel.serve;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.UpstreamNotice;

/**
 * The connection to the colocated upstream.
 */
@FunctionalInterface
public interface UpstreamPort {
    /**
     * Hands a call over.
     *
     * @param handOver the call
     * @param listener receives the upstream's answer
     * @return the running exchange
     */
    Exchange start(HandOver handOver, Listener listener);

    /**
     * A call to be handed over.
     *
     * @param content the request that the upstream receives
     * @param contextToken the token that the upstream copies to its nested calls
     * @param request the id that all calls of the chain share
     * @param importance the importance of the request
     * @param remainingNanos the time left until the deadline, in nanoseconds
     */
    record HandOver(
            Message.Content content,
            String contextToken,
            RequestId request,
            Importance importance,
            long remainingNanos) {
        /**
         * Returns the same call without the body of its request.
         *
         * @return the call
         */
        public HandOver withoutBody() {
            return new HandOver(content.withoutBody(), contextToken, request, importance, remainingNanos);
        }
    }

    /**
     * An exchange with the upstream for a call that was handed over.
     */
    interface Exchange {
        /** Requests one more fragment of the body. */
        void request();

        /** Cancels the exchange and notifies the upstream. */
        void cancel();
    }

    /**
     * Receives the upstream's answer, on any thread but in order.
     */
    interface Listener {
        /** Called when the upstream reports that it did not run the call and never will. */
        void notRun();

        /** Called when no connection could be opened, so that the upstream never received the call. */
        void unreachable();

        /** Called when the whole request was written, after which its body isn't needed here any more. */
        default void written() {
            // A listener that holds no body ignores it.
        }

        /**
         * Receives what an answer states about the upstream, before the answer itself. Called for each answer, also for
         * one that states nothing.
         *
         * @param notice what the answer states
         */
        default void notice(UpstreamNotice notice) {
            // A listener that makes no decisions ignores it.
        }

        /**
         * Receives the head.
         *
         * @param status the HTTP status
         * @param headers the header fields
         */
        void head(int status, List<HeaderField> headers);

        /**
         * Receives a requested fragment of the body.
         *
         * @param bytes the fragment
         */
        void data(byte[] bytes);

        /** Called at the end of a complete answer. */
        void end();

        /** Called when the exchange broke off after the hand-over. */
        void broken();

        /** Called when the exchange broke off because the upstream crashed: nothing listens at its address any more. */
        default void upstreamCrashed() {
            broken();
        }
    }
}
