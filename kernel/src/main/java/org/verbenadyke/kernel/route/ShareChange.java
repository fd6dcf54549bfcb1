package org.verbenadyke.kernel.route;

import java.util.OptionalInt;

import org.verbenadyke.kernel.call.Importance;

/**
 * A change of the share of a route's requests that is raised to a higher importance.
 *
 * @param route the name of the route
 * @param teamPriority the priority of the callers' teams, empty if they have none
 * @param importance the importance to which the share is raised
 * @param before the share last reported
 * @param share the share from now on
 * @param basis the slot times that the share follows from
 */
public record ShareChange(
        String route, OptionalInt teamPriority, Importance importance, double before, double share, Basis basis) {
    /**
     * The slot times at the service that limits the requests.
     *
     * @param bottleneck the service, empty if none is known
     * @param ownNanos the slot time of one request of the route, in nanoseconds; 0 if it is not known
     * @param aboveNanos the mean slot time of one repeatable request of the higher importance, in nanoseconds; 0 if it
     *     is not known
     */
    public record Basis(String bottleneck, double ownNanos, double aboveNanos) {
        /** The slot times are not known. */
        public static final Basis UNKNOWN = new Basis("", 0, 0);

        /**
         * Returns whether both slot times are known.
         *
         * @return whether they are
         */
        public boolean known() {
            return ownNanos > 0 && aboveNanos > 0;
        }
    }
}
