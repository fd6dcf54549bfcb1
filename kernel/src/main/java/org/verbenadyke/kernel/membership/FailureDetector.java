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
 * Finds nodes that no longer answer: checks one directly, then through others, suspects it, and gives it up when it
 * doesn't refute. Runs inside the serial runner of {@link Gossip}.
 */
final class FailureDetector {
    private static final int HELPERS = 2;

    private final TimerService timers;
    private final GossipSettings settings;
    private final SerialExecutor serial;
    private final MemberTable table;
    private final PeerChoice peers;
    private final Host host;
    private final Suspicions suspicions;
    private final Map<Long, Check> checks = new HashMap<>();
    private final Map<Long, GossipMessage.Probe> probes = new HashMap<>();
    private long tickets;

    FailureDetector(
            TimerService timers,
            GossipSettings settings,
            SerialExecutor serial,
            MemberTable table,
            PeerChoice peers,
            Host host) {
        this.timers = timers;
        this.settings = settings;
        this.serial = serial;
        this.table = table;
        this.peers = peers;
        this.host = host;
        this.suspicions = new Suspicions(table);
    }

    /** Checks a third node for another one. */
    void probe(GossipMessage.Probe probe) {
        long ticket = ++tickets;
        probes.put(ticket, probe);
        host.send(probe.target(), host.rumor(ticket));
        timers.after(settings.probeNanos(), () -> serial.run(() -> probes.remove(ticket)));
    }

    /** Checks that a node answers. */
    void check(MemberRecord target) {
        long ticket = ++tickets;
        host.send(target.endpoint(), host.rumor(ticket));
        Subscription patience = timers.after(settings.ackNanos(), () -> serial.run(() -> checkThroughOthers(ticket)));
        checks.put(ticket, new Check(target, patience));
    }

    private void checkThroughOthers(long ticket) {
        Check check = checks.get(ticket);
        if (check == null) {
            return;
        }
        MemberRecord target = check.target();
        List<MemberRecord> others = new ArrayList<>(table.present());
        others.removeIf(r -> r.nodeId().equals(target.nodeId()));
        for (MemberRecord helper : peers.draw(others, HELPERS)) {
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

    /** Takes an answer, direct or passed on. */
    void answered(long ticket) {
        // Nearly all checks are answered; a timer left over would wake the node for each.
        Optional.ofNullable(checks.remove(ticket)).ifPresent(c -> c.patience().cancel());
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
            timers.after(settings.suspectNanos(), () -> serial.run(() -> giveUp(suspected)));
        }
    }

    /**
     * Tells whether this node may give another up. Only nodes of its own region may: seen from another region, a failed
     * node looks like a cut, and behind a cut it goes on and owns its keys.
     */
    private boolean sameRegion(MemberRecord other) {
        return other.location().region().equals(host.self().location().region());
    }

    private void giveUp(MemberRecord suspected) {
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

    /** Looks again at a node that was spared since too many others seemed to fail with it. */
    private void recheck(MemberRecord suspected) {
        Optional<MemberRecord> known = table.find(suspected.nodeId());
        if (known.isPresent() && known.get().equals(suspected)) {
            long ticket = ++tickets;
            host.send(suspected.endpoint(), host.rumor(ticket));
            Subscription patience = timers.after(
                    settings.ackNanos(),
                    () -> serial.run(() -> {
                        if (checks.remove(ticket) != null) {
                            giveUp(suspected);
                        }
                    }));
            checks.put(ticket, new Check(suspected, patience));
        }
    }

    /**
     * A check under way.
     *
     * @param target the node that is checked
     * @param patience runs when it has not answered in time
     */
    private record Check(MemberRecord target, Subscription patience) {}

    /**
     * What the detector needs of the gossip it belongs to.
     */
    interface Host {
        void send(Endpoint to, GossipMessage message);

        void learn(MemberRecord record);

        GossipMessage.Rumor rumor(long ticket);

        MemberRecord self();
    }
}
