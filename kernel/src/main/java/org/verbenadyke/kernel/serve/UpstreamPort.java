package org.verbenadyke.kernel.serve;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;

/**
 * The way to the upstream beside the node.
 */
@FunctionalInterface
public interface UpstreamPort {
    /**
     * Hands a call over.
     *
     * @param handOver the call
     * @param listener takes what the upstream answers
     * @return the exchange under way
     */
    Exchange start(HandOver handOver, Listener listener);

    /**
     * A call to be handed over.
     *
     * @param content what the upstream gets
     * @param contextToken the value that the upstream copies to its own calls
     * @param request the request of the chain
     * @param importance how much it matters
     * @param remainingNanos the time left until the deadline, in nanoseconds
     */
    record HandOver(
            Message.Content content,
            String contextToken,
            RequestId request,
            Importance importance,
            long remainingNanos) {}

    /**
     * A call handed over.
     */
    interface Exchange {
        /** Asks for one more fragment of the body. */
        void request();

        /** Ends the exchange and tells the upstream. */
        void cancel();
    }

    /**
     * Takes what the upstream answers, from any thread but in order.
     */
    interface Listener {
        /** The upstream says that it did not run the call and never will. */
        void notRun();

        /** Takes notice that no connection could be had: the upstream never saw the call. */
        void unreachable();

        /**
         * Takes the head.
         *
         * @param status the HTTP status
         * @param headers the header fields
         */
        void head(int status, List<HeaderField> headers);

        /**
         * Takes a fragment of the body that was asked for.
         *
         * @param bytes the fragment
         */
        void data(byte[] bytes);

        /** Takes the end of a whole answer. */
        void end();

        /** Takes notice that the exchange broke after the hand-over. */
        void broken();

        /** Takes notice that the exchange broke since the upstream ended: nothing listens any more where it did. */
        default void upstreamCrashed() {
            broken();
        }
    }
}
