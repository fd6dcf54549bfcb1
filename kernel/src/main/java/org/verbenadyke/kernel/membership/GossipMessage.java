package org.verbenadyke.kernel.membership;

import java.util.List;

import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.quarantine.CrashReport;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * A datagram between nodes. Any datagram may be lost, repeated or late.
 */
public sealed interface GossipMessage {
    /**
     * Spreads changed records and optionally checks that the receiver answers.
     *
     * @param from the sender's name
     * @param ticket identifies the message; 0 if no answer is requested
     * @param summary a summary of what the sender knows
     * @param updates records that changed recently
     */
    record Rumor(String from, long ticket, Summary summary, List<MemberRecord> updates) implements GossipMessage {}

    /**
     * Answers a {@link Rumor}.
     *
     * @param from the sender's name
     * @param ticket the rumor's ticket
     * @param summary a summary of what the sender knows
     * @param updates records that changed recently
     */
    record Ack(String from, long ticket, Summary summary, List<MemberRecord> updates) implements GossipMessage {}

    /**
     * Requests that the receiver check a third node.
     *
     * @param from the sender's name
     * @param ticket identifies the check
     * @param requester where the requesting node listens
     * @param target where the third node listens
     */
    record Probe(String from, long ticket, Endpoint requester, Endpoint target) implements GossipMessage {}

    /**
     * Reports that the third node answered.
     *
     * @param ticket identifies the check
     */
    record ProbeAck(long ticket) implements GossipMessage {}

    /**
     * Carries the bucket digests of a table that differs from the receiver's.
     *
     * @param from the sender's name
     * @param replyRequested whether the receiver should send its own digests back
     * @param digests one hash per bucket
     */
    record Buckets(String from, boolean replyRequested, List<Long> digests) implements GossipMessage {}

    /**
     * Carries records of buckets that differ.
     *
     * @param records the records
     */
    record Records(List<MemberRecord> records) implements GossipMessage {}

    /**
     * Requests the configuration.
     *
     * @param from the sender's name
     */
    record ConfigRequest(String from) implements GossipMessage {}

    /**
     * Carries the configuration.
     *
     * @param state the configuration and its position on the log
     */
    record ConfigUpdate(ConfigState state) implements GossipMessage {}

    /**
     * Reports crashes of upstreams and the requests in flight at each crash.
     *
     * @param from the sender's name
     * @param reports all reports that the sender knows, or a part of them
     */
    record CrashReports(String from, List<CrashReport> reports) implements GossipMessage {}

    /**
     * Carries departed starts of upstreams.
     *
     * @param from the sender's name
     * @param ticket identifies the message; 0 if no answer is requested
     * @param departures the departures of each node, or of some
     */
    record Departures(String from, long ticket, List<NodeDepartures> departures) implements GossipMessage {}

    /**
     * Confirms {@link Departures}, and tells what the sender knows of the receiver's departures.
     *
     * @param from the sender's name
     * @param ticket the ticket of the confirmed message
     * @param recovered whether the sender knows what the nodes knew before its own start
     * @param departures the receiver's departures
     */
    record DeparturesAck(String from, long ticket, boolean recovered, List<NodeDepartures> departures)
            implements GossipMessage {}

    /**
     * A summary of what a node knows, used to detect differences.
     *
     * @param digest a hash of the node's member table
     * @param configVersion the version of the node's configuration
     * @param planVersion the version of the node's routes, -1 if it has none
     * @param planAgeMillis how long ago these routes were known to be complete, in milliseconds
     * @param crashesFingerprint a hash of the crashes known to the node
     * @param departuresFingerprint a hash of the departures known to the node, 0 if it knows none
     */
    record Summary(
            long digest,
            long configVersion,
            long planVersion,
            int planAgeMillis,
            long crashesFingerprint,
            long departuresFingerprint) {}
}
