package org.verbenadyke.kernel.quarantine;

import java.util.Optional;

/**
 * Selects the upstream of a service that may try a quarantined request. At any moment this is one upstream, and all
 * nodes that know the same members agree on it without communicating.
 */
public interface TrialSchedule {
    /**
     * Finds the upstream that may try a request.
     *
     * @param request the request
     * @param service the service that is to run it
     * @param turn the number of the turn, counted from the end of the quarantine time
     * @return the upstream's id, empty if none is known
     */
    Optional<String> upstream(RequestDigest request, String service, long turn);

    /**
     * Returns whether the upstream that may try a request is the one colocated with this node.
     *
     * @param request the request
     * @param turn the number of the turn
     * @return whether it is the local upstream's turn
     */
    boolean isLocal(RequestDigest request, long turn);

    /**
     * Returns the schedule of a node that knows no others.
     *
     * @return a schedule in which every turn is local
     */
    static TrialSchedule standalone() {
        return new TrialSchedule() {
            @Override
            public Optional<String> upstream(RequestDigest request, String service, long turn) {
                return Optional.empty();
            }

            @Override
            public boolean isLocal(RequestDigest request, long turn) {
                return true;
            }
        };
    }
}
