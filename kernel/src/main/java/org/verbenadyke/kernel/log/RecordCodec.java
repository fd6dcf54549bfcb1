package org.verbenadyke.kernel.log;

/**
 * Turns one type of record into bytes and back.
 *
 * @param <T> the type
 */
public interface RecordCodec<T> {
    /**
     * Encodes.
     *
     * @param record the record
     * @return the bytes
     */
    byte[] encode(T record);

    /**
     * Decodes.
     *
     * @param bytes the bytes
     * @return the record
     */
    T decode(byte[] bytes);
}
