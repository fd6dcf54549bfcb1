package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * Takes what comes back for a request, on the connection's thread and in order.
 */
public interface AnswerListener {
    /** Takes notice that no connection could be had: the request was never sent. */
    void unreachable();

    /**
     * Tells whether an answer belongs to the request. One that doesn't is skipped, and the next is awaited.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @return whether it belongs to it
     */
    boolean matches(int status, List<HeaderField> fields);

    /**
     * Takes the head of the answer.
     *
     * @param status the HTTP status
     * @param fields the header fields
     */
    void head(int status, List<HeaderField> fields);

    /**
     * Takes a part of the body.
     *
     * @param bytes the part
     */
    void data(byte[] bytes);

    /** Takes the end of a whole answer. */
    void end();

    /** Takes notice that the connection ended, or brought what is no answer, after the request was sent. */
    void broken();

    /** Takes notice that the server closed or reset the connection after the request was sent. */
    default void closed() {
        broken();
    }
}
