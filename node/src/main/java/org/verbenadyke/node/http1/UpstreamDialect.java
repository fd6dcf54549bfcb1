package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * How an upstream is spoken to over HTTP: which header fields say what.
 */
public interface UpstreamDialect {
    /**
     * Words a call.
     *
     * @param handOver the call
     * @return the request that the upstream gets
     */
    HttpRequestMessage request(UpstreamPort.HandOver handOver);

    /**
     * Names a call as its answers name it.
     *
     * @param handOver the call
     * @return the name, empty if it has none
     */
    String correlationId(UpstreamPort.HandOver handOver);

    /**
     * Tells whether an answer belongs to a call.
     *
     * @param handOver the call
     * @param fields the answer's header fields
     * @return whether it does
     */
    boolean matches(UpstreamPort.HandOver handOver, List<HeaderField> fields);

    /**
     * Tells what an answer's head says of the call.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @return what it says
     */
    AnswerKind classify(int status, List<HeaderField> fields);

    /**
     * Takes notice that a call has ended, however.
     *
     * @param handOver the call
     */
    void onCallEnded(UpstreamPort.HandOver handOver);

    /**
     * What an answer says of its call.
     */
    enum AnswerKind {
        /** It is the upstream's answer. */
        ANSWER,
        /** The upstream did not run the call and never will. */
        NOT_RUN,
        /** It can't be an answer that the upstream meant to give. */
        UNUSABLE
    }
}
