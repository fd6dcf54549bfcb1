package org.verbenadyke.kernel.call;

import java.util.List;

/**
 * Receives one answer: a head, then data, then an end. A refusal may take the place of the head; an abort may follow
 * the head.
 */
public interface AnswerSink {
    /**
     * Receives the head.
     *
     * @param status the HTTP status
     * @param headers the header fields
     */
    void head(int status, List<HeaderField> headers);

    /**
     * Receives a fragment of the body.
     *
     * @param bytes the fragment
     */
    void data(byte[] bytes);

    /** Called at the end of a complete answer. */
    void end();

    /**
     * Receives a refusal: the final answer, which the system gives in place of an upstream.
     *
     * @param refusal the refusal
     */
    void refused(Refusal refusal);

    /** Called when the answer breaks off after its head; a truncated answer must not be passed on as complete. */
    void aborted();
}
