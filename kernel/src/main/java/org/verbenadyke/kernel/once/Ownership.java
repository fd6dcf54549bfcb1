package org.verbenadyke.kernel.once;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Upstream;

/**
 * Whether this node may run a keyed request, as its view of the membership says.
 */
public sealed interface Ownership {
    /**
     * The key is this node's, once the live former owners have said what they know of it.
     *
     * @param askFirst upstreams that take no work any more but may have run the key
     * @param voucher the upstream that owned the key before this one came, if that was lately
     */
    record Owned(List<Upstream> askFirst, Optional<Upstream> voucher) implements Ownership {}

    /** The key is another node's. */
    record Elsewhere() implements Ownership {}

    /** A former owner is gone, and an earlier try may have run there. */
    record Uncertain() implements Ownership {}
}
