package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Finds and repairs differences between this node's member table and another node's, which arise when pushes are lost.
 * Runs on the serial executor of {@link Gossip}.
 */
final class AntiEntropy {
    /** The minimum time between two comparisons that this node requests. */
    private static final long MIN_COMPARE_INTERVAL_NANOS = 1_000_000_000L;

    /** Records per datagram: eight stay below the size at which datagrams are fragmented. */
    private static final int MAX_RECORDS = 8;

    private final String self;
    private final TimerService timers;
    private final MemberTable table;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private long comparedNanos;

    AntiEntropy(String self, TimerService timers, MemberTable table, BiConsumer<Endpoint, GossipMessage> port) {
        this.self = self;
        this.timers = timers;
        this.table = table;
        this.port = port;
        this.comparedNanos = timers.nanos() - MIN_COMPARE_INTERVAL_NANOS;
    }

    /** Compares the digest of another node's table, and requests a comparison by bucket if it differs. */
    void compareDigest(Endpoint from, long digest) {
        long now = timers.nanos();
        if (digest != table.digest() && now - comparedNanos >= MIN_COMPARE_INTERVAL_NANOS) {
            comparedNanos = now;
            port.accept(from, buckets(true));
        }
    }

    /** Sends another node the records of the buckets that differ. */
    void sendDifferences(Endpoint from, GossipMessage.Buckets theirs) {
        long[] mine = table.bucketDigests();
        List<MemberRecord> differing = new ArrayList<>();
        for (MemberRecord r : table.compared()) {
            int bucket = MemberTable.bucket(r.nodeId());
            if (bucket < theirs.digests().size()
                    && mine[bucket] != theirs.digests().get(bucket)) {
                differing.add(r);
            }
        }
        for (int i = 0; i < differing.size(); i += MAX_RECORDS) {
            List<MemberRecord> part = differing.subList(i, Math.min(differing.size(), i + MAX_RECORDS));
            port.accept(from, new GossipMessage.Records(List.copyOf(part)));
        }
        if (theirs.replyRequested()) {
            port.accept(from, buckets(false));
        }
    }

    private GossipMessage.Buckets buckets(boolean answer) {
        List<Long> digests = new ArrayList<>(MemberTable.BUCKETS);
        for (long d : table.bucketDigests()) {
            digests.add(d);
        }
        return new GossipMessage.Buckets(self, answer, digests);
    }
}
