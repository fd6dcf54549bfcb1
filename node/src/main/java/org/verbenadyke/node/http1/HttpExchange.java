package org.verbenadyke.node.http1;

import java.util.List;
import java.util.function.IntConsumer;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * A request on a connection, and the way to answer it. Answers may come from any thread, in order.
 */
public interface HttpExchange {
    /**
     * Returns the request.
     *
     * @return the request, whole
     */
    HttpRequestMessage request();

    /**
     * Answers in one go.
     *
     * @param status the HTTP status
     * @param fields the header fields; the length is added
     * @param body the body
     */
    void answer(int status, List<HeaderField> fields, byte[] body);

    /**
     * Begins an answer. Without a length among the fields, the body goes out in chunks.
     *
     * @param status the HTTP status
     * @param fields the header fields
     */
    void head(int status, List<HeaderField> fields);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part
     */
    void data(byte[] bytes);

    /** Ends the answer. */
    void end();

    /** Breaks the answer off: the connection ends, so that the caller can tell. */
    void abort();

    /**
     * Subscribes to the caller's leaving before the answer is complete.
     *
     * @param task runs at most once
     */
    void onCallerDisconnected(Runnable task);

    /**
     * Subscribes to the parts of the body that went out.
     *
     * @param taker takes their lengths in bytes
     */
    void onSent(IntConsumer taker);
}
