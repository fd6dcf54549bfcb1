package org.verbenadyke.kernel.follow;

import java.util.List;
import java.util.function.Consumer;

/**
 * The stream of configuration documents that the operators write. Every call ends within a bounded time with one
 * result, which may be delivered before the call returns.
 */
public interface PlanSource {
    /**
     * Reads the newest document.
     *
     * @param callback receives the result
     */
    void newest(Consumer<Result> callback);

    /**
     * Reads the documents from a position on; waits for the first one.
     *
     * @param from the position after the last document read
     * @param waitMillis how long to wait for a document, in milliseconds; 0 to return at once
     * @param callback receives the result
     */
    void next(Position from, long waitMillis, Consumer<Result> callback);

    /**
     * A position in the stream, valid only in the history that it was learned from.
     *
     * @param epoch the epoch of the history
     * @param offset the offset of the next record
     */
    record Position(long epoch, long offset) {}

    /**
     * The result of a read.
     */
    sealed interface Result {
        /**
         * The stream was read.
         *
         * @param documents the documents in their order; empty if there were none
         * @param next the position after them
         * @param complete whether there were no further documents when the stream was read
         */
        record Documents(List<byte[]> documents, Position next, boolean complete) implements Result {}

        /** The stream no longer has the records at the requested position. */
        record Gone() implements Result {}

        /**
         * No result.
         *
         * @param reason why there is none
         */
        record Failed(String reason) implements Result {}
    }
}
