package org.verbenadyke.node.http1;

import java.util.List;
import java.util.function.IntConsumer;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * A request on a connection, and the means to answer it. Any thread may answer, as long as the calls come in order.
 */
public interface HttpExchange {
    /**
     * Returns the request.
     *
     * @return the complete request
     */
    HttpRequestMessage request();

    /**
     * Sends a complete answer.
     *
     * @param status the HTTP status
     * @param fields the header fields; the content length is added
     * @param body the body
     */
    void answer(int status, List<HeaderField> fields, byte[] body);

    /**
     * Starts an answer. Without a content length among the fields, the body is sent with chunked encoding.
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

    /** Aborts the answer: closes the connection, so that the caller notices. */
    void abort();

    /**
     * Sets the task to run if the caller disconnects before the answer is complete.
     *
     * @param task runs at most once
     */
    void onCallerDisconnected(Runnable task);

    /**
     * Sets the callback for the parts of the body that were sent.
     *
     * @param callback receives the length of each sent part, in bytes
     */
    void onSent(IntConsumer callback);
}
