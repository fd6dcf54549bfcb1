package org.verbenadyke.kernel.log;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The subset of the platform's append-only log that the system needs. Any call may fail or take long; none blocks.
 */
public interface LogService {
    /**
     * Appends a record.
     *
     * @param stream the stream
     * @param key the subject of the record, by which a compacted log retains the newest record of each subject
     * @param record the record
     * @param callback called once with the result
     */
    void append(String stream, String key, byte[] record, Consumer<AppendResult> callback);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param fromOffset the offset to start at
     * @param waitMillis how long to wait for a record if there is none yet, in milliseconds
     * @param callback called once with the result
     */
    void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback);

    /**
     * Subscribes to replacements of the log's history by an older copy, after which acknowledged records may be lost.
     * All earlier offsets are then invalid, and recent records may be gone. A log that never loses records never calls
     * the listener.
     *
     * @param listener called with each new epoch, before any record of that epoch is delivered
     */
    default void onReplaced(LogEpoch.Listener listener) {}

    /**
     * The result of an append.
     */
    sealed interface AppendResult {
        /**
         * The record was appended.
         *
         * @param offset its offset
         */
        record Appended(long offset) implements AppendResult {}

        /**
         * The record may or may not have been appended.
         *
         * @param reason what went wrong
         */
        record Unknown(String reason) implements AppendResult {}

        /**
         * The record was not appended.
         *
         * @param reason what went wrong
         */
        record Failed(String reason) implements AppendResult {}
    }

    /**
     * The result of a read.
     */
    sealed interface ReadResult {
        /**
         * Records were read, possibly none.
         *
         * @param firstOffset the oldest offset that the log still holds
         * @param nextOffset the offset to read from next
         * @param records the records in order
         * @param complete whether the log held no further records when it was read; false if that isn't known
         */
        record Records(long firstOffset, long nextOffset, List<LogRecord> records, boolean complete)
                implements ReadResult {
            /**
             * Creates a result of which isn't known whether the log holds further records.
             *
             * @param firstOffset the oldest offset that the log still holds
             * @param nextOffset the offset to read from next
             * @param records the records in order
             */
            public Records(long firstOffset, long nextOffset, List<LogRecord> records) {
                this(firstOffset, nextOffset, records, false);
            }
        }

        /**
         * Nothing could be read.
         *
         * @param reason what went wrong
         */
        record Failed(String reason) implements ReadResult {}
    }

    /**
     * A record of the log.
     *
     * @param offset its offset
     * @param key its subject, if the log provides it
     * @param bytes its content
     */
    record LogRecord(long offset, Optional<String> key, byte[] bytes) {}
}
