package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.quarantine.CrashReport;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.quarantine.UpstreamCrash;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Spreads what is known of requests under which upstreams end. Each node passes what is new to it on once, to a few
 * others, within milliseconds; the rounds of gossip compare hashes and mend what the pushes missed, also at nodes that
 * were cut off, paused or not yet started. Runs inside the serial runner of {@link Gossip}.
 */
final class EndGossip {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Digests a datagram, of some 20 bytes each: below the size at which datagrams are split. */
    private static final int DIGESTS_MOST = 48;

    /** Ends that one comparison brings: all that four upstreams of some hundred places had. */
    private static final int COMPARED_MOST = 512;

    /** The least time between two comparisons: a sixth of the time within which every node must know. */
    private static final long COMPARE_NANOS = 500_000_000L;

    private final String self;
    private final TimerService timers;
    private final GossipSettings settings;
    private final SerialExecutor serial;
    private final MemberTable table;
    private final PeerChoice peers;
    private final Quarantine quarantine;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private final List<UpstreamCrash> fresh = new ArrayList<>();
    private long comparedNanos;

    EndGossip(
            String self,
            Gossip.Parts parts,
            GossipSettings settings,
            SerialExecutor serial,
            PeerChoice peers,
            BiConsumer<Endpoint, GossipMessage> port) {
        this.self = self;
        this.timers = parts.timers();
        this.settings = settings;
        this.serial = serial;
        this.table = parts.table();
        this.peers = peers;
        this.quarantine = parts.quarantine();
        this.port = port;
        this.comparedNanos = timers.nanos() - COMPARE_NANOS;
    }

    /** Starts to spread what the node's quarantine learns. */
    void start() {
        quarantine.onNews(end -> serial.run(() -> learned(end)));
    }

    /** Takes what another node tells. */
    void take(GossipMessage.CrashReports ends) {
        long now = timers.nanos();
        for (CrashReport r : ends.reports()) {
            long at = now - r.ageMillis() * NANOS_PER_MILLI;
            r.requests()
                    .forEach(d -> quarantine.hear(new UpstreamCrash(d, r.upstream(), r.cleared(), at, ends.from())));
        }
    }

    /** Takes the hash of what another node knows, and tells it what this one knows when they differ. */
    void seen(Endpoint from, long theirs) {
        long now = timers.nanos();
        if (theirs != quarantine.fingerprint() && now - comparedNanos >= COMPARE_NANOS) {
            comparedNanos = now;
            datagrams(quarantine.crashes(COMPARED_MOST)).forEach(m -> port.accept(from, m));
        }
    }

    long fingerprint() {
        return quarantine.fingerprint();
    }

    void sweep() {
        quarantine.sweep();
    }

    private void learned(UpstreamCrash end) {
        fresh.add(end);
        if (fresh.size() == 1) {
            timers.after(settings.pushNanos(), () -> serial.run(this::push));
        }
    }

    private void push() {
        List<GossipMessage.CrashReports> news = datagrams(fresh);
        fresh.clear();
        peers.draw(table.present(), settings.fanOut()).forEach(r -> news.forEach(m -> port.accept(r.endpoint(), m)));
    }

    /** Words ends as datagrams of a bounded size, those of one upstream together. */
    private List<GossipMessage.CrashReports> datagrams(List<UpstreamCrash> ends) {
        List<GossipMessage.CrashReports> datagrams = new ArrayList<>();
        for (int i = 0; i < ends.size(); i += DIGESTS_MOST) {
            List<UpstreamCrash> part = ends.subList(i, Math.min(ends.size(), i + DIGESTS_MOST));
            datagrams.add(new GossipMessage.CrashReports(self, reports(part)));
        }
        return datagrams;
    }

    private List<CrashReport> reports(List<UpstreamCrash> ends) {
        long now = timers.nanos();
        Map<Group, CrashReport> byUpstream = new LinkedHashMap<>();
        for (UpstreamCrash e : ends) {
            int age = (int) ((now - e.atNanos()) / NANOS_PER_MILLI);
            byUpstream
                    .computeIfAbsent(
                            new Group(e.upstream(), e.cleared()),
                            g -> new CrashReport(g.upstream(), g.cleared(), age, new ArrayList<RequestDigest>()))
                    .requests()
                    .add(e.request());
        }
        return List.copyOf(byUpstream.values());
    }

    /**
     * What the requests of one report have in common.
     *
     * @param upstream the upstream that ended
     * @param cleared whether they have been answered since
     */
    private record Group(String upstream, boolean cleared) {}
}
