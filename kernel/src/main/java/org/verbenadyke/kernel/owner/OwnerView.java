package org.verbenadyke.kernel.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.once.Ownership;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Decides whose a key is and who may have run it before, from the membership as this node sees it. The owner is the
 * upstream that takes work and ranks highest for the key. Every upstream that takes no work any more may have been an
 * owner before, whatever its rank, since others may have been out at the time; while this node is new, the next in rank
 * may have been, too.
 */
public final class OwnerView {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MemberTable table;
    private final TimerService timers;
    private final OwnerSettings settings;
    private final Predicate<MemberRecord> leaving;
    private final Set<String> handedOn = ConcurrentHashMap.newKeySet();

    private OwnerView(MemberTable table, TimerService timers, OwnerSettings settings, Predicate<MemberRecord> leaving) {
        this.table = table;
        this.timers = timers;
        this.settings = settings;
        this.leaving = leaving;
    }

    /**
     * Creates a view.
     *
     * @param table the members
     * @param timers the time
     * @param settings how long doubts last
     * @param leaving tells which members the operators made leave
     * @return the view
     */
    public static OwnerView of(
            MemberTable table, TimerService timers, OwnerSettings settings, Predicate<MemberRecord> leaving) {
        return new OwnerView(table, timers, settings, leaving);
    }

    /**
     * Notes that an upstream handed on all its keys before it stopped.
     *
     * @param upstreamId its id
     */
    public void handedOn(String upstreamId) {
        handedOn.add(upstreamId);
    }

    /**
     * Looks at one key.
     *
     * @param local the upstream beside this node
     * @param key the key
     * @return whose it is
     */
    public Ownership of(LocalUpstream local, String key) {
        String service = local.service();
        String me = local.id();
        long mySinceNanos = local.acceptingSinceNanos();
        List<MemberRecord> present = table.present().stream()
                .filter(r -> r.service().equals(service))
                .toList();
        long mine = Rendezvous.hash(me, key);
        List<Upstream> ask = new ArrayList<>();
        Optional<MemberRecord> next = Optional.empty();
        long nextRank = Long.MIN_VALUE;
        for (MemberRecord r : present) {
            if (r.upstreamId().equals(me)) {
                continue;
            }
            long rank = Rendezvous.hash(r.upstreamId(), key);
            boolean takesWork = r.state().accepting() && !leaving.test(r);
            if (rank > mine && takesWork) {
                return new Ownership.Elsewhere();
            }
            if (!takesWork) {
                r.upstream().ifPresent(ask::add);
            } else if (rank >= nextRank) {
                nextRank = rank;
                next = Optional.of(r);
            }
        }
        if (departedOwner(service, me, key)) {
            return new Ownership.Uncertain();
        }
        Optional<Upstream> voucher = Optional.empty();
        if (timers.nanos() - mySinceNanos < settings.keyRetentionNanos()) {
            if (next.isEmpty() && !madeAfter(key, mySinceNanos)) {
                return new Ownership.Uncertain();
            }
            voucher = next.flatMap(MemberRecord::upstream);
        }
        ask.sort(Comparator.comparing(Upstream::id));
        return new Ownership.Owned(ask, voucher);
    }

    /**
     * Tells whether this node, asked as a former owner, can't vouch that nobody else ran a key before.
     *
     * @param local the upstream beside this node
     * @param asker the id of the upstream that owns the key now
     * @param key the key
     * @return whether a doubt is left
     */
    public boolean unsure(LocalUpstream local, String asker, String key) {
        boolean fresh = timers.nanos() - local.acceptingSinceNanos() < settings.keyRetentionNanos()
                && !madeAfter(key, local.acceptingSinceNanos());
        return fresh || otherOwner(local, asker, key) || departedOwner(local.service(), local.id(), key);
    }

    /**
     * Tells whether, as this node sees it, the key was neither its own nor the asker's. One that leaves counts: the
     * asker may not have heard of it, and so not have asked it.
     */
    private boolean otherOwner(LocalUpstream local, String asker, String key) {
        long mine = Rendezvous.hash(local.id(), key);
        return table.present().stream()
                .filter(r -> r.service().equals(local.service()))
                .filter(r -> !r.upstreamId().equals(asker) && !r.upstreamId().equals(local.id()))
                .anyMatch(r -> Rendezvous.hash(r.upstreamId(), key) > mine);
    }

    /** Tells whether an upstream that is gone may have run the key. */
    private boolean departedOwner(String service, String me, String key) {
        long now = timers.nanos();
        for (MemberTable.Departure d : table.departures()) {
            boolean relevant = d.service().equals(service)
                    && !d.upstreamId().equals(me)
                    && now - d.learnedNanos() < settings.keyRetentionNanos()
                    && !(d.planned() && handedOn.contains(d.upstreamId()));
            if (relevant && !madeAfter(key, d.learnedNanos())) {
                return true;
            }
        }
        return false;
    }

    private boolean madeAfter(String key, long nanos) {
        long wallThen = timers.wallMillis() - (timers.nanos() - nanos) / NANOS_PER_MILLI;
        return KeyTime.of(key)
                .map(made -> made > wallThen + settings.skewMillis())
                .orElse(false);
    }
}
