package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.concurrent.Serial;
import org.verbenadyke.kernel.quarantine.EndReport;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.quarantine.UpstreamEnd;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Spreads reports of requests that were in flight when an upstream crashed. Each node forwards a report that is new to
 * it once, to a few others, within milliseconds. The gossip rounds compare hashes and repair what the pushes missed,
 * also at nodes that were partitioned, paused or not yet started. Runs inside the serial runner of {@link Gossip}.
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
    private final Serial serial;
    private final MemberTable table;
    private final PeerSelector peers;
    private final Quarantine quarantine;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private final List<UpstreamEnd> unsent = new ArrayList<>();
    private long comparedNanos;

    CrashGossip(
            String self,
            Gossip.Parts parts,
            GossipSettings settings,
            Serial serial,
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
        quarantine.onNews(crash -> serial.run(() -> queue(crash)));
    }

    /** Passes the crash reports of another node to the quarantine. */
    void receive(GossipMessage.Ends message) {
        long now = timers.nanos();
        for (EndReport r : message.reports()) {
            long at = now - r.ageMillis() * NANOS_PER_MILLI;
            r.requests()
                    .forEach(d -> quarantine.hear(new UpstreamEnd(d, r.upstream(), r.cleared(), at, message.from())));
        }
    }

    /**
     * Compares another node's fingerprint of known crashes, and sends that node the crashes known here if it differs.
     */
    void compareFingerprint(Endpoint from, long theirs) {
        long now = timers.nanos();
        if (theirs != quarantine.fingerprint() && now - comparedNanos >= MIN_COMPARE_INTERVAL_NANOS) {
            comparedNanos = now;
            datagrams(quarantine.ends(MAX_COMPARED)).forEach(m -> port.accept(from, m));
        }
    }

    long fingerprint() {
        return quarantine.fingerprint();
    }

    void sweep() {
        quarantine.sweep();
    }

    private void queue(UpstreamEnd crash) {
        unsent.add(crash);
        if (unsent.size() == 1) {
            timers.after(settings.pushNanos(), () -> serial.run(this::push));
        }
    }

    private void push() {
        List<GossipMessage.Ends> messages = datagrams(unsent);
        unsent.clear();
        peers.draw(table.present(), settings.fanOut())
                .forEach(r -> messages.forEach(m -> port.accept(r.endpoint(), m)));
    }

    /** Formats crashes as datagrams of a bounded size, those of one upstream together. */
    private List<GossipMessage.Ends> datagrams(List<UpstreamEnd> crashes) {
        List<GossipMessage.Ends> datagrams = new ArrayList<>();
        for (int i = 0; i < crashes.size(); i += MAX_DIGESTS) {
            List<UpstreamEnd> part = crashes.subList(i, Math.min(crashes.size(), i + MAX_DIGESTS));
            datagrams.add(new GossipMessage.Ends(self, reports(part)));
        }
        return datagrams;
    }

    private List<EndReport> reports(List<UpstreamEnd> crashes) {
        long now = timers.nanos();
        Map<Group, EndReport> byUpstream = new LinkedHashMap<>();
        for (UpstreamEnd c : crashes) {
            int age = (int) ((now - c.atNanos()) / NANOS_PER_MILLI);
            byUpstream
                    .computeIfAbsent(
                            new Group(c.upstream(), c.cleared()),
                            g -> new EndReport(g.upstream(), g.cleared(), age, new ArrayList<RequestDigest>()))
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
