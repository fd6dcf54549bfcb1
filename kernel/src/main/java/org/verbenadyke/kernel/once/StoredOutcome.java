package org.verbenadyke.kernel.once;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;

/**
 * The outcome of a call that may run only once, stored so that later attempts of the same call get it too.
 */
public sealed interface StoredOutcome {
    /**
     * The upstream's complete answer.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the body
     */
    record CompleteAnswer(int status, List<HeaderField> headers, byte[] body) implements StoredOutcome {}

    /**
     * The call has no complete answer.
     *
     * @param refusal the refusal that is sent instead
     */
    record NoAnswer(Refusal refusal) implements StoredOutcome {}

    /**
     * Returns the complete answer.
     *
     * @return the answer, empty if the call has none
     */
    default Optional<CompleteAnswer> completeAnswer() {
        return this instanceof CompleteAnswer w ? Optional.of(w) : Optional.empty();
    }
}
