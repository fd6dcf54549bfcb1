package org.verbenadyke.kernel.call;

/**
 * Names one attempt that one node sends to another. Never used twice: a process draws a new incarnation at its start
 * and counts its calls.
 *
 * @param incarnation the incarnation of the sending node
 * @param sequence the number of the call in that incarnation
 */
public record CallId(long incarnation, long sequence) {
    @Override
    public String toString() {
        return Long.toHexString(incarnation) + "/" + Long.toHexString(sequence);
    }
}
