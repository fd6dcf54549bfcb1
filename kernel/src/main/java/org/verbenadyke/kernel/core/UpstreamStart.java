package org.verbenadyke.kernel.core;

import java.util.OptionalLong;

/**
 * One start of the upstream beside a node. An upstream may start again under the same id; then only the time of the
 * start tells the two apart.
 *
 * @param id the upstream's id
 * @param startedMillis when it started, in milliseconds since the epoch; empty if it doesn't say
 */
public record UpstreamStart(String id, OptionalLong startedMillis) {
    /**
     * Tells whether both starts say when they were, and this one was before the other.
     *
     * @param other the other start
     * @return whether this one is known to be older
     */
    boolean bornBefore(UpstreamStart other) {
        return startedMillis.isPresent()
                && other.startedMillis.isPresent()
                && startedMillis.getAsLong() < other.startedMillis.getAsLong();
    }
}
