package org.verbenadyke.kernel.membership;

import java.util.List;

import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.quarantine.CrashReport;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * The datagrams between nodes. Any of them may be lost, repeated or late.
 */
public sealed interface GossipMessage {
    /**
     * Spreads news and, when asked to, checks that the receiver answers.
     *
     * @param from the sender's name
     * @param ticket numbers the message; 0 when no answer is wanted
     * @param summary what the sender knows, in short
     * @param updates records that changed lately
     */
    record Rumor(String from, long ticket, Summary summary, List<MemberRecord> updates) implements GossipMessage {}

    /**
     * Answers a {@link Rumor}.
     *
     * @param from the sender's name
     * @param ticket the rumor's number
     * @param summary what the sender knows, in short
     * @param updates records that changed lately
     */
    record Ack(String from, long ticket, Summary summary, List<MemberRecord> updates) implements GossipMessage {}

    /**
     * Asks another node to check a third one.
     *
     * @param from the sender's name
     * @param ticket numbers the check
     * @param requester where the asking node listens
     * @param target where the third node listens
     */
    record Probe(String from, long ticket, Endpoint requester, Endpoint target) implements GossipMessage {}

    /**
     * Passes on that the third node answered.
     *
     * @param ticket the check
     */
    record ProbeAck(long ticket) implements GossipMessage {}

    /**
     * Compares two tables that differ.
     *
     * @param from the sender's name
     * @param replyRequested whether the receiver is to send its own digests back
     * @param digests one hash a bucket
     */
    record Buckets(String from, boolean replyRequested, List<Long> digests) implements GossipMessage {}

    /**
     * Brings records of buckets that differ.
     *
     * @param records the records
     */
    record Records(List<MemberRecord> records) implements GossipMessage {}

    /**
     * Asks for the configuration.
     *
     * @param from the sender's name
     */
    record ConfigRequest(String from) implements GossipMessage {}

    /**
     * Brings the configuration.
     *
     * @param state the configuration and where on the log it stands
     */
    record ConfigUpdate(ConfigState state) implements GossipMessage {}

    /**
     * Tells of upstreams that ended, and of what they had.
     *
     * @param from the sender's name
     * @param reports what the sender knows, or a part of it
     */
    record CrashReports(String from, List<CrashReport> reports) implements GossipMessage {}

    /**
     * What a node knows, in short.
     *
     * @param digest a hash of its member table
     * @param configVersion the version of its configuration
     * @param planVersion the version of its routes, -1 if it has none
     * @param followerAgeMillis how long ago some node was known to read the operators' record, in milliseconds
     * @param crashesFingerprint a hash of what it knows of upstreams that ended
     */
    record Summary(long digest, long configVersion, long planVersion, int followerAgeMillis, long crashesFingerprint) {}
}
