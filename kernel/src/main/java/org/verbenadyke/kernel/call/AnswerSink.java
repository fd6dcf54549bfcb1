package org.verbenadyke.kernel.call;

import java.util.List;

/**
 * Takes one answer: a head, then data, then an end; or a refusal in place of the head; or an abort after it.
 */
public interface AnswerSink {
    /**
     * Takes the head.
     *
     * @param status the HTTP status
     * @param headers the header fields
     */
    void head(int status, List<HeaderField> headers);

    /**
     * Takes a fragment of the body.
     *
     * @param bytes the fragment
     */
    void data(byte[] bytes);

    /** Takes the end of a whole answer. */
    void end();

    /**
     * Takes the final answer that no upstream gave.
     *
     * @param refusal the refusal
     */
    void refused(Refusal refusal);

    /** Takes notice that the answer was cut short after its head; it must not be passed on as whole. */
    void aborted();
}
