package org.verbenadyke.kernel.membership;

import java.util.List;

/**
 * Tells a failed node from a network partition between regions: when more than half of a region seems to have failed,
 * the connection to that region is assumed to have failed instead, and its nodes keep the keys that they own.
 */
final class PartitionDetector {
    private static final int MIN_SUSPECTS = 3;

    private final MemberTable table;

    PartitionDetector(MemberTable table) {
        this.table = table;
    }

    boolean looksLikeAPartition(MemberRecord suspected) {
        List<MemberRecord> region = table.present().stream()
                .filter(r -> r.location().region().equals(suspected.location().region()))
                .toList();
        long suspects =
                region.stream().filter(r -> r.state() == MemberState.SUSPECT).count();
        return suspects >= MIN_SUSPECTS && suspects * 2 > region.size();
    }
}
