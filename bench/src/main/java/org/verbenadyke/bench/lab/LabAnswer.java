package org.verbenadyke.bench.lab;

import org.verbenadyke.kernel.call.Refusal;

/**
 * What a caller of the lab got.
 */
sealed interface LabAnswer {
    /** The whole right answer. */
    record Whole() implements LabAnswer {}

    /**
     * A whole answer to something else.
     *
     * @param text what it said
     */
    record Wrong(String text) implements LabAnswer {}

    /**
     * A failure that an upstream answered with.
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

    /** An answer that was cut short, and the caller could tell. */
    record CutShort() implements LabAnswer {}

    /**
     * Names the kind, for counting.
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
