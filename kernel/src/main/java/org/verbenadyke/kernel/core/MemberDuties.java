package org.verbenadyke.kernel.core;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.verbenadyke.kernel.config.ConfigStore;
import org.verbenadyke.kernel.follow.MemberRank;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.quarantine.Trials;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.LocalUpstream;

/**
 * What falls to this node among the members it knows. All nodes that know the same members agree without asking.
 */
final class MemberDuties implements Trials {
    private static final int TAILERS = 3;

    private final Supplier<MemberRecord> self;
    private final MemberTable table;

    private MemberDuties(Supplier<MemberRecord> self, MemberTable table) {
        this.self = self;
        this.table = table;
    }

    static MemberDuties of(Supplier<MemberRecord> self, MemberTable table) {
        return new MemberDuties(self, table);
    }

    /** Tells whether this node is one of those that follow the log closely for their data centre. */
    boolean tailing() {
        MemberRecord me = self.get();
        int rank = MemberRank.of(
                me.nodeId(), ConfigStore.STREAM, table.present(), r -> r.location().equals(me.location()));
        return rank < TAILERS;
    }

    @Override
    public Optional<String> upstream(RequestDigest request, String service, long turn) {
        List<String> ranked = table.present().stream()
                .filter(r -> r.state().accepting() && r.service().equals(service))
                .sorted(Comparator.comparingLong(r -> Rendezvous.hash(r.nodeId(), request.toString())))
                .map(MemberRecord::upstreamId)
                .toList();
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(ranked.get((int) (turn % ranked.size())));
    }

    @Override
    public boolean here(RequestDigest request, long turn) {
        MemberRecord me = self.get();
        return upstream(request, me.service(), turn)
                .filter(me.upstreamId()::equals)
                .isPresent();
    }

    /** Lists the upstreams that may take over what one of this node leaves behind. */
    List<Upstream> heirs(LocalUpstream local) {
        return table.accepting().stream()
                .filter(u -> u.service().equals(local.service()) && !u.id().equals(local.id()))
                .toList();
    }
}
