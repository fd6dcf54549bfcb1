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
 * Spreads reports of requests that were in flight when an upstream crashed. Each node forwards a report that is new to
 * it once, to a few others, within milliseconds. The gossip rounds compare hashes and repair what the pushes missed,
 * also at nodes that were partitioned, paused or not yet started. Runs on the serial executor of {@link Gossip}.
 */
final class CrashGossip {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Digests per datagram, of some 20 bytes each: keeps a datagram below the size at which datagrams are fragmented.
     */
    private static final int MAX_DIGESTS = 48;

    /** Crash records sent after one comparison: all requests in flight at four upstreams of some hundred slots. */
    private static final int MAX_COMPARED = 512;

    /** The minimum time between two comparisons: a sixth of the time within which every node must know of a crash. */
    private static final long MIN_COMPARE_INTERVAL_NANOS = 500_000_000L;

    private final String self;
    private final TimerService timers;
    private final GossipSettings settings;
    private final SerialExecutor serial;
    private final MemberTable table;
    private final PeerSelector peers;
    private final Quarantine quarantine;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private final List<UpstreamCrash> unsent = new ArrayList<>();
    private long comparedNanos;

    CrashGossip(
            String self,
            Gossip.Parts parts,
            GossipSettings settings,
            SerialExecutor serial,
            PeerSelector peers,
            BiConsumer<Endpoint, GossipMessage> port) {
        this.self = self;
        this.timers = parts.timers();
        this.settings = settings;
        this.serial = serial;
        this.table = parts.table();
        this.peers = peers;
        this.quarantine = parts.quarantine();
        this.port = port;
        this.comparedNanos = timers.nanos() - MIN_COMPARE_INTERVAL_NANOS;
    }

    /** Starts to spread the crashes that the node's quarantine learns of. */
    void start() {
        quarantine.onCrash(crash -> serial.run(() -> queue(crash)));
    }

    /** Passes the crash reports of another node to the quarantine. */
    void receive(GossipMessage.CrashReports message) {
        long now = timers.nanos();
        for (CrashReport r : message.reports()) {
            long at = now - r.ageMillis() * NANOS_PER_MILLI;
            r.requests()
                    .forEach(
                            d -> quarantine.learn(new UpstreamCrash(d, r.upstream(), r.cleared(), at, message.from())));
        }
    }

    /**
     * Compares another node's fingerprint of known crashes, and sends that node the crashes known here if it differs.
     */
    void compareFingerprint(Endpoint from, long theirs) {
        long now = timers.nanos();
        if (theirs != quarantine.fingerprint() && now - comparedNanos >= MIN_COMPARE_INTERVAL_NANOS) {
            comparedNanos = now;
            datagrams(quarantine.crashes(MAX_COMPARED)).forEach(m -> port.accept(from, m));
        }
    }

    long fingerprint() {
        return quarantine.fingerprint();
    }

    void sweep() {
        quarantine.sweep();
    }

    private void queue(UpstreamCrash crash) {
        unsent.add(crash);
        if (unsent.size() == 1) {
            timers.after(settings.pushNanos(), () -> serial.run(this::push));
        }
    }

    private void push() {
        List<GossipMessage.CrashReports> messages = datagrams(unsent);
        unsent.clear();
        peers.draw(table.present(), settings.fanOut())
                .forEach(r -> messages.forEach(m -> port.accept(r.endpoint(), m)));
    }

    /** Formats crashes as datagrams of a bounded size, those of one upstream together. */
    private List<GossipMessage.CrashReports> datagrams(List<UpstreamCrash> crashes) {
        List<GossipMessage.CrashReports> datagrams = new ArrayList<>();
        for (int i = 0; i < crashes.size(); i += MAX_DIGESTS) {
            List<UpstreamCrash> part = crashes.subList(i, Math.min(crashes.size(), i + MAX_DIGESTS));
            datagrams.add(new GossipMessage.CrashReports(self, reports(part)));
        }
        return datagrams;
    }

    private List<CrashReport> reports(List<UpstreamCrash> crashes) {
        long now = timers.nanos();
        Map<Group, CrashReport> byUpstream = new LinkedHashMap<>();
        for (UpstreamCrash c : crashes) {
            int age = (int) ((now - c.crashedNanos()) / NANOS_PER_MILLI);
            byUpstream
                    .computeIfAbsent(
                            new Group(c.upstream(), c.cleared()),
                            g -> new CrashReport(g.upstream(), g.cleared(), age, new ArrayList<RequestDigest>()))
                    .requests()
                    .add(c.request());
        }
        return List.copyOf(byUpstream.values());
    }

    /**
     * What the requests of one report have in common.
     *
     * @param upstream the upstream that crashed
     * @param cleared whether the requests have been answered since
     */
    private record Group(String upstream, boolean cleared) {}
}
