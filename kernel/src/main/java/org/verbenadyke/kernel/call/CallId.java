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

    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
    @Override
    public boolean equals(Object other) {
        return other instanceof CallId o && incarnation == o.incarnation && sequence == o.sequence;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(incarnation) + Long.hashCode(sequence);
    }
}
