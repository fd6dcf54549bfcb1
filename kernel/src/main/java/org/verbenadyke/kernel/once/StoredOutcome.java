package org.verbenadyke.kernel.once;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;

/**
 * The outcome of a call that may run only once, kept for whoever asks again.
 */
public sealed interface StoredOutcome {
    /**
     * The upstream answered, and the answer is whole.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the body
     */
    record CompleteAnswer(int status, List<HeaderField> headers, byte[] body) implements StoredOutcome {}

    /**
     * There is no answer to give.
     *
     * @param refusal what is known instead
     */
    record NoAnswer(Refusal refusal) implements StoredOutcome {}

    /**
     * Returns the whole answer.
     *
     * @return the answer, if it was kept
     */
    default Optional<CompleteAnswer> completeAnswer() {
        return this instanceof CompleteAnswer w ? Optional.of(w) : Optional.empty();
    }
}
