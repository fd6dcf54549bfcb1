package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Finds and mends differences between this node's member table and another's: what pushes missed. Runs inside the
 * serial runner of {@link Gossip}.
 */
final class TableDifferences {
    /** The least time between two comparisons that this node asks for. */
    private static final long COMPARE_NANOS = 1_000_000_000L;

    /** Records a datagram: eight stay below the size at which datagrams are split. */
    private static final int RECORDS_MOST = 8;

    private final String self;
    private final TimerService timers;
    private final MemberTable table;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private long comparedNanos;

    TableDifferences(String self, TimerService timers, MemberTable table, BiConsumer<Endpoint, GossipMessage> port) {
        this.self = self;
        this.timers = timers;
        this.table = table;
        this.port = port;
        this.comparedNanos = timers.nanos() - COMPARE_NANOS;
    }

    /** Takes the digest of another node's table, and asks for a comparison when it differs. */
    void seen(Endpoint from, long digest) {
        long now = timers.nanos();
        if (digest != table.digest() && now - comparedNanos >= COMPARE_NANOS) {
            comparedNanos = now;
            port.accept(from, buckets(true));
        }
    }

    /** Sends another node what lies in the buckets that differ. */
    void exchange(Endpoint from, GossipMessage.Buckets theirs) {
        long[] mine = table.bucketDigests();
        List<MemberRecord> differing = new ArrayList<>();
        for (MemberRecord r : table.compared()) {
            int bucket = MemberTable.bucket(r.nodeId());
            if (bucket < theirs.digests().size()
                    && mine[bucket] != theirs.digests().get(bucket)) {
                differing.add(r);
            }
        }
        for (int i = 0; i < differing.size(); i += RECORDS_MOST) {
            List<MemberRecord> part = differing.subList(i, Math.min(differing.size(), i + RECORDS_MOST));
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
