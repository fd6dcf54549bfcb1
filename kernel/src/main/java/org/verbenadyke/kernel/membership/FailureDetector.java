package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Detects nodes that no longer answer: checks a node directly, then through other nodes, suspects it, and declares it
 * dead unless the node refutes the suspicion. Runs on the serial executor of {@link Gossip}.
 */
final class FailureDetector {
    private static final int INDIRECT_PROBES = 2;

    private final TimerService timers;
    private final GossipSettings settings;
    private final SerialExecutor serial;
    private final MemberTable table;
    private final PeerSelector peers;
    private final Host host;
    private final PartitionDetector suspicions;
    private final Map<Long, Check> checks = new HashMap<>();
    private final Map<Long, GossipMessage.Probe> probes = new HashMap<>();
    private long tickets;

    FailureDetector(
            TimerService timers,
            GossipSettings settings,
            SerialExecutor serial,
            MemberTable table,
            PeerSelector peers,
            Host host) {
        this.timers = timers;
        this.settings = settings;
        this.serial = serial;
        this.table = table;
        this.peers = peers;
        this.host = host;
        this.suspicions = new PartitionDetector(table);
    }

    /** Checks a third node on behalf of another node. */
    void probe(GossipMessage.Probe probe) {
        long ticket = ++tickets;
        probes.put(ticket, probe);
        host.send(probe.target(), host.rumor(ticket));
        timers.after(settings.probeNanos(), () -> serial.run(() -> probes.remove(ticket)));
    }

    /** Checks whether a node answers. */
    void check(MemberRecord target) {
        long ticket = ++tickets;
        host.send(target.endpoint(), host.rumor(ticket));
        Subscription timeout = timers.after(settings.ackNanos(), () -> serial.run(() -> checkIndirectly(ticket)));
        checks.put(ticket, new Check(target, timeout));
    }

    private void checkIndirectly(long ticket) {
        Check check = checks.get(ticket);
        if (check == null) {
            return;
        }
        MemberRecord target = check.target();
        List<MemberRecord> others = new ArrayList<>(table.present());
        others.removeIf(r -> r.nodeId().equals(target.nodeId()));
        for (MemberRecord helper : peers.draw(others, INDIRECT_PROBES)) {
            host.send(
                    helper.endpoint(),
                    new GossipMessage.Probe(
                            host.self().nodeId(), ticket, host.self().endpoint(), target.endpoint()));
        }
        timers.after(
                settings.probeNanos(),
                () -> serial.run(() -> {
                    if (checks.remove(ticket) != null) {
                        suspect(target);
                    }
                }));
    }

    /** Handles an answer, direct or forwarded. */
    void answered(long ticket) {
        // Nearly all checks are answered; without the cancellation each would wake the node by its timer later.
        Optional.ofNullable(checks.remove(ticket)).ifPresent(c -> c.timeout().cancel());
        GossipMessage.Probe probe = probes.remove(ticket);
        if (probe != null) {
            host.send(probe.requester(), new GossipMessage.ProbeAck(probe.ticket()));
        }
    }

    private void suspect(MemberRecord target) {
        MemberRecord known = table.find(target.nodeId()).orElse(target);
        boolean same = known.incarnation() == target.incarnation() && known.version() == target.version();
        if (!same || known.state() != MemberState.ALIVE && known.state() != MemberState.DRAINING) {
            return;
        }
        MemberRecord suspected = known.withState(MemberState.SUSPECT, timers.wallMillis());
        if (known.state() == MemberState.ALIVE) {
            host.learn(suspected);
        }
        if (sameRegion(suspected)) {
            timers.after(settings.suspectNanos(), () -> serial.run(() -> declareDead(suspected)));
        }
    }

    /**
     * Returns whether this node may declare another node dead. Only nodes of the same region may: seen from another
     * region, a failed node can't be distinguished from a network partition, and a partitioned node goes on and owns
     * its keys.
     */
    private boolean sameRegion(MemberRecord other) {
        return other.location().region().equals(host.self().location().region());
    }

    private void declareDead(MemberRecord suspected) {
        Optional<MemberRecord> known = table.find(suspected.nodeId());
        boolean refuted = known.map(k -> k.incarnation() != suspected.incarnation()
                        || k.version() != suspected.version()
                        || !k.state().present())
                .orElse(true);
        if (refuted) {
            return;
        }
        if (suspicions.looksLikeAPartition(suspected)) {
            timers.after(settings.suspectNanos(), () -> serial.run(() -> recheck(suspected)));
            return;
        }
        host.learn(known.get().withState(MemberState.DEAD, timers.wallMillis()));
    }

    /** Checks a suspected node again that was not declared dead because too many others seemed to fail with it. */
    private void recheck(MemberRecord suspected) {
        Optional<MemberRecord> known = table.find(suspected.nodeId());
        if (known.isPresent() && known.get().equals(suspected)) {
            long ticket = ++tickets;
            host.send(suspected.endpoint(), host.rumor(ticket));
            Subscription timeout = timers.after(
                    settings.ackNanos(),
                    () -> serial.run(() -> {
                        if (checks.remove(ticket) != null) {
                            declareDead(suspected);
                        }
                    }));
            checks.put(ticket, new Check(suspected, timeout));
        }
    }

    /**
     * A check in progress.
     *
     * @param target the node that is checked
     * @param timeout the timer that fires when the node has not answered in time
     */
    private record Check(MemberRecord target, Subscription timeout) {}

    /**
     * The operations of {@link Gossip} that the detector uses.
     */
    interface Host {
        void send(Endpoint to, GossipMessage message);

        void learn(MemberRecord record);

        GossipMessage.Rumor rumor(long ticket);

        MemberRecord self();
    }
}
