package org.verbenadyke.kernel.once;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;

/**
 * The outcome of a call that may run only once, stored so that later tries of the same call get it too.
 */
public sealed interface KeptAnswer {
    /**
     * The upstream's complete answer.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the body
     */
    record Whole(int status, List<HeaderField> headers, byte[] body) implements KeptAnswer {}

    /**
     * The call has no complete answer.
     *
     * @param refusal the refusal that is sent instead
     */
    record Lost(Refusal refusal) implements KeptAnswer {}

    /**
     * Returns the complete answer.
     *
     * @return the answer, empty if the call has none
     */
    default Optional<Whole> whole() {
        return this instanceof Whole w ? Optional.of(w) : Optional.empty();
    }
}
