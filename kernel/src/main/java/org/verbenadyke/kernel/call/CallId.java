package org.verbenadyke.kernel.call;

/**
 * Identifies one attempt that one node sends to another. An id is never reused: a process draws a new incarnation at
 * its start and numbers its calls.
 *
 * @param incarnation the incarnation of the sending node
 * @param sequence the number of the call in that incarnation
 */
public record CallId(long incarnation, long sequence) {
    @Override
    public String toString() {
        return Long.toHexString(incarnation) + "/" + Long.toHexString(sequence);
    }

    // Written out: the record's own methods are generated at their first use, which slows the start of a process.
    @Override
    public boolean equals(Object other) {
        return other instanceof CallId o && incarnation == o.incarnation && sequence == o.sequence;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(incarnation) + Long.hashCode(sequence);
    }
}
