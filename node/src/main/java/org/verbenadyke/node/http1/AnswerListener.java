package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * Receives the events of a request's answer, in order and on the connection's event loop.
 */
public interface AnswerListener {
    /** Called when no connection was available: the request was never sent. */
    void unreachable();

    /** Called when the whole request was written. */
    default void written() {
        // A listener that holds nothing of the request ignores it.
    }

    /**
     * Returns whether an answer belongs to the request. An answer that doesn't is skipped, and the next one is awaited.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @return whether the answer belongs to the request
     */
    boolean matches(int status, List<HeaderField> fields);

    /**
     * Called with the head of the answer.
     *
     * @param status the HTTP status
     * @param fields the header fields
     */
    void head(int status, List<HeaderField> fields);

    /**
     * Called with each part of the body.
     *
     * @param bytes the part
     */
    void data(byte[] bytes);

    /** Called when the answer is complete. */
    void end();

    /** Called when the connection failed or received malformed data after the request was sent. */
    void broken();

    /** Called when the server closed or reset the connection after the request was sent. */
    default void closed() {
        broken();
    }
}
