package org.verbenadyke.kernel.quarantine;

import java.util.Optional;

/**
 * Tells which upstream of a service may try a request that is held back. At any moment it is one, and all nodes that
 * know the same members agree on it without asking.
 */
public interface Trials {
    /**
     * Finds the upstream.
     *
     * @param request the request
     * @param service the service that is to run it
     * @param turn the number of the turn, counted from the end of the hold
     * @return the upstream's id, empty if none is known
     */
    Optional<String> upstream(RequestDigest request, String service, long turn);

    /**
     * Tells whether it is the upstream beside this node.
     *
     * @param request the request
     * @param turn the number of the turn
     * @return whether it is
     */
    boolean here(RequestDigest request, long turn);

    /**
     * Returns the trials of a node that knows no others.
     *
     * @return every turn is its own
     */
    static Trials alone() {
        return new Trials() {
            @Override
            public Optional<String> upstream(RequestDigest request, String service, long turn) {
                return Optional.empty();
            }

            @Override
            public boolean here(RequestDigest request, long turn) {
                return true;
            }
        };
    }
}
