package org.verbenadyke.kernel.membership;

import java.util.Optional;

import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Handles updates that gossip received.
 */
public interface GossipListener {
    /** Called when some member changed. */
    void membersChanged();

    /**
     * Called when others had declared this node dead.
     *
     * @param renewed the record by which the node refuted that
     */
    void declaredDead(MemberRecord renewed);

    /**
     * Called when a record was new.
     *
     * @param record the record
     */
    void learned(MemberRecord record);

    /**
     * Returns the version of the routes in force.
     *
     * @return the version, -1 if none is known
     */
    long planVersion();

    /**
     * Called when another node has newer routes.
     *
     * @param node where the other node listens
     * @param version the version of its routes
     */
    void newerPlanFound(Endpoint node, long version);

    /**
     * Returns how long ago the routes in force were known to be complete.
     *
     * @return the age, in milliseconds
     */
    int planAgeMillis();

    /**
     * Called when another node told how long ago its routes were known to be complete.
     *
     * @param planVersion the version of the routes of that node, -1 if it has none
     * @param ageMillis the age, in milliseconds
     */
    void planAgeReceived(long planVersion, int ageMillis);

    /**
     * Returns the configuration to send to others.
     *
     * @return the configuration, if one is known
     */
    Optional<ConfigState> config();

    /**
     * Called when a configuration of another node was received.
     *
     * @param state the configuration and its position on the log
     */
    void configReceived(ConfigState state);
}
