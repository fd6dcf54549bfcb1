package org.verbenadyke.kernel.membership;

import java.util.List;

/**
 * Tells a failed node from a cut between regions: when more than half of another region seems to have failed, the
 * connection to it is taken to have failed instead, and its nodes keep what they own.
 */
final class Suspicions {
    private static final int LEAST = 3;

    private final MemberTable table;

    Suspicions(MemberTable table) {
        this.table = table;
    }

    boolean looksLikeAPartition(MemberRecord suspected) {
        List<MemberRecord> region = table.present().stream()
                .filter(r -> r.location().region().equals(suspected.location().region()))
                .toList();
        long suspects =
                region.stream().filter(r -> r.state() == MemberState.SUSPECT).count();
        return suspects >= LEAST && suspects * 2 > region.size();
    }
}
