package org.verbenadyke.kernel.log;

/**
 * Encodes and decodes one type of record.
 *
 * @param <T> the type
 */
public interface RecordCodec<T> {
    /**
     * Encodes a record.
     *
     * @param record the record
     * @return the bytes
     */
    byte[] encode(T record);

    /**
     * Decodes a record.
     *
     * @param bytes the bytes
     * @return the record
     */
    T decode(byte[] bytes);
}
