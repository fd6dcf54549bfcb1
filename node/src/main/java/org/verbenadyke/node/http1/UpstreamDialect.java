package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * Maps calls to an upstream's HTTP requests and classifies its answers by their header fields.
 */
public interface UpstreamDialect {
    /**
     * Builds the HTTP request of a call.
     *
     * @param handOver the call
     * @return the request to send to the upstream
     */
    HttpRequestMessage request(UpstreamPort.HandOver handOver);

    /**
     * Returns the correlation id that the upstream repeats in its answer to a call.
     *
     * @param handOver the call
     * @return the id, empty if the call has none
     */
    String correlationId(UpstreamPort.HandOver handOver);

    /**
     * Returns whether an answer belongs to a call.
     *
     * @param handOver the call
     * @param fields the answer's header fields
     * @return whether the answer belongs to the call
     */
    boolean matches(UpstreamPort.HandOver handOver, List<HeaderField> fields);

    /**
     * Classifies an answer by its head.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @return the kind of answer
     */
    AnswerKind classify(int status, List<HeaderField> fields);

    /**
     * Reads what an answer states about the upstream.
     *
     * @param fields the answer's header fields
     * @return the notice
     */
    UpstreamNotice notice(List<HeaderField> fields);

    /**
     * Called when a call has ended, whatever its outcome.
     *
     * @param handOver the call
     */
    void onCallEnded(UpstreamPort.HandOver handOver);

    /**
     * The kind of answer to a call.
     */
    enum AnswerKind {
        /** A regular answer of the upstream. */
        ANSWER,
        /** The upstream did not run the call and never will. */
        NOT_RUN,
        /** Not a valid answer to the call; whether the call ran is unknown. */
        UNUSABLE
    }
}
