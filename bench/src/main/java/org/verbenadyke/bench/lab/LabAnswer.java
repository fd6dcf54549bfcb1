package org.verbenadyke.bench.lab;

import org.verbenadyke.kernel.call.Refusal;

/**
 * The answer that an emulated caller received.
 */
sealed interface LabAnswer {
    /** The complete, correct answer. */
    record Whole() implements LabAnswer {}

    /**
     * A complete answer with unexpected content.
     *
     * @param text the received text
     */
    record Wrong(String text) implements LabAnswer {}

    /**
     * A failure status from an upstream.
     *
     * @param status the HTTP status
     */
    record Failed(int status) implements LabAnswer {}

    /**
     * A refusal by the system.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements LabAnswer {}

    /** An answer that ended early, detectably for the caller. */
    record CutShort() implements LabAnswer {}

    /**
     * Returns the name of this kind of answer, for counting.
     *
     * @return a short text
     */
    default String label() {
        return switch (this) {
            case Whole w -> "whole";
            case Wrong w -> "wrong";
            case Failed f -> "failed " + f.status();
            case Refused r ->
                r.refusal().state().label() + " " + r.refusal().reason().label();
            case CutShort c -> "cut short";
        };
    }
}
