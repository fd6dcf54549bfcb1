package org.verbenadyke.kernel.once;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Upstream;

/**
 * Whether this node may run a request with an idempotency key, according to its view of the membership.
 */
public sealed interface Ownership {
    /**
     * This node owns the key, but must first query the former owners that are still alive.
     *
     * @param formerOwners upstreams that no longer accept work but may have run the key
     * @param predecessor the upstream that owned the key before this one joined, if it joined recently
     */
    record Owned(List<Upstream> formerOwners, Optional<Upstream> predecessor) implements Ownership {}

    /** Another node owns the key. */
    record OwnedElsewhere() implements Ownership {}

    /** A former owner is gone, and may have run an earlier attempt. */
    record InDoubt() implements Ownership {}
}
