package org.verbenadyke.kernel.follow;

/**
 * What a node knows of its route plan at some moment.
 *
 * @param version the version in force, -1 if there is none
 * @param inForceMillis how long it has been in force here, in milliseconds
 * @param source what brought it: the store or a peer; empty if there is none
 * @param highestHeard the highest version that a peer was heard to have, or the version in force
 * @param answerAgeMillis how long ago this node last had an answer of the store, in milliseconds
 * @param ageMillis how long ago the plan in force was known to have every change, in milliseconds
 * @param boundMillis how long a change may take until it is in force everywhere, in milliseconds
 */
public record PlanStatus(
        long version,
        long inForceMillis,
        String source,
        long highestHeard,
        int answerAgeMillis,
        int ageMillis,
        long boundMillis) {
    /**
     * Returns whether the plan is known to have every change that was made longer ago than the bound.
     *
     * @return whether no peer has a newer version, and the plan was known to have every change within the bound
     */
    public boolean current() {
        return highestHeard <= version && ageMillis <= boundMillis;
    }
}
