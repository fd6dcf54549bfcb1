package org.verbenadyke.kernel.log;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's append-only log, as narrow as the system needs it. Any call may fail or take long; none blocks.
 */
public interface LogService {
    /**
     * Appends a record.
     *
     * @param stream the stream
     * @param key what the record is about; a log that keeps the newest record of each key keeps it by this
     * @param record the record
     * @param taker is told once what came of it
     */
    void append(String stream, String key, byte[] record, Consumer<AppendResult> taker);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param fromOffset the first offset wanted
     * @param waitMillis how long to wait for a record when there is none yet, in milliseconds
     * @param taker is told once what was read
     */
    void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> taker);

    /**
     * Subscribes to the news that the log lost what it had acknowledged, since its history was replaced by an older
     * copy. From then on no offset of before means anything, and what was written lately may be gone. A log that never
     * loses anything has no such news.
     *
     * @param listener is told of each new epoch, before any record of it is
     */
    default void onReplaced(LogEpoch.Listener listener) {}

    /**
     * What came of an append.
     */
    sealed interface AppendResult {
        /**
         * The record is on the log.
         *
         * @param offset its offset
         */
        record Appended(long offset) implements AppendResult {}

        /**
         * The record may be on the log or not.
         *
         * @param reason what went wrong
         */
        record Unknown(String reason) implements AppendResult {}

        /**
         * The record is not on the log.
         *
         * @param reason what went wrong
         */
        record Failed(String reason) implements AppendResult {}
    }

    /**
     * What came of a read.
     */
    sealed interface ReadResult {
        /**
         * Records were read, perhaps none.
         *
         * @param firstOffset the oldest offset that the log still keeps
         * @param nextOffset where to read on
         * @param records the records in order
         * @param complete whether nothing more stood on the log when it was read; false if that isn't known
         */
        record Records(long firstOffset, long nextOffset, List<LogRecord> records, boolean complete)
                implements ReadResult {
            /**
             * Creates a page of which isn't known whether it is the last.
             *
             * @param firstOffset the oldest offset that the log still keeps
             * @param nextOffset where to read on
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
     * A record on the log.
     *
     * @param offset its offset
     * @param key what it is about, if the log tells
     * @param bytes its content
     */
    record LogRecord(long offset, Optional<String> key, byte[] bytes) {}
}
