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
 * Decides which upstream owns a key and which ones may have run it before, from this node's view of the membership. The
 * owner is the upstream with the highest rank for the key among those that accept work. Every upstream that no longer
 * accepts work may have owned the key before, whatever its rank, since others may have been absent at that time. While
 * this node is new, so may the upstream that is next in rank.
 */
public final class OwnerView {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MemberTable table;
    private final TimerService timers;
    private final OwnerSettings settings;
    private final Predicate<MemberRecord> leaving;
    private final Set<String> keysTransferred = ConcurrentHashMap.newKeySet();

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
     * @param timers the clock
     * @param settings how long the ownership of a key may be in doubt
     * @param leaving returns whether the operators took a member out of service
     * @return the view
     */
    public static OwnerView of(
            MemberTable table, TimerService timers, OwnerSettings settings, Predicate<MemberRecord> leaving) {
        return new OwnerView(table, timers, settings, leaving);
    }

    /**
     * Records that an upstream transferred all its keys before it stopped.
     *
     * @param upstreamId its id
     */
    public void keysTransferred(String upstreamId) {
        keysTransferred.add(upstreamId);
    }

    /**
     * Decides who owns a key.
     *
     * @param local the upstream colocated with this node
     * @param key the key
     * @return the ownership
     */
    public Ownership of(LocalUpstream local, String key) {
        String service = local.service();
        String ownId = local.id();
        long ownSinceNanos = local.acceptingSinceNanos();
        List<MemberRecord> present = table.present().stream()
                .filter(r -> r.service().equals(service))
                .toList();
        long ownRank = Rendezvous.hash(ownId, key);
        List<Upstream> formerOwners = new ArrayList<>();
        Optional<MemberRecord> next = Optional.empty();
        long nextRank = Long.MIN_VALUE;
        for (MemberRecord r : present) {
            if (r.upstreamId().equals(ownId)) {
                continue;
            }
            long rank = Rendezvous.hash(r.upstreamId(), key);
            boolean takesWork = r.state().accepting() && !leaving.test(r);
            if (rank > ownRank && takesWork) {
                return new Ownership.OwnedElsewhere();
            }
            if (!takesWork) {
                r.upstream().ifPresent(formerOwners::add);
            } else if (rank >= nextRank) {
                nextRank = rank;
                next = Optional.of(r);
            }
        }
        if (departedOwner(service, ownId, key)) {
            return new Ownership.InDoubt();
        }
        Optional<Upstream> predecessor = Optional.empty();
        if (timers.nanos() - ownSinceNanos < settings.keyRetentionNanos()) {
            if (next.isEmpty() && !createdAfter(key, ownSinceNanos)) {
                return new Ownership.InDoubt();
            }
            predecessor = next.flatMap(MemberRecord::upstream);
        }
        formerOwners.sort(Comparator.comparing(Upstream::id));
        return new Ownership.Owned(formerOwners, predecessor);
    }

    /**
     * Returns whether this node, queried as a former owner, cannot rule out that another node ran a key before.
     *
     * @param local the upstream colocated with this node
     * @param newOwner the id of the upstream that owns the key now
     * @param key the key
     * @return whether another node may have run the key
     */
    public boolean mayHaveRunElsewhere(LocalUpstream local, String newOwner, String key) {
        boolean mayPredateLocal = timers.nanos() - local.acceptingSinceNanos() < settings.keyRetentionNanos()
                && !createdAfter(key, local.acceptingSinceNanos());
        return mayPredateLocal || otherOwner(local, newOwner, key) || departedOwner(local.service(), local.id(), key);
    }

    /**
     * Returns whether a third upstream ranks higher for the key than this node's upstream. A leaving upstream counts
     * too: the new owner may not know of it, and so may not have queried it.
     */
    private boolean otherOwner(LocalUpstream local, String newOwner, String key) {
        long ownRank = Rendezvous.hash(local.id(), key);
        return table.present().stream()
                .filter(r -> r.service().equals(local.service()))
                .filter(r -> !r.upstreamId().equals(newOwner) && !r.upstreamId().equals(local.id()))
                .anyMatch(r -> Rendezvous.hash(r.upstreamId(), key) > ownRank);
    }

    /** Returns whether an upstream that is gone may have run the key. */
    private boolean departedOwner(String service, String ownId, String key) {
        long now = timers.nanos();
        for (MemberTable.Departure d : table.departures()) {
            boolean relevant = d.service().equals(service)
                    && !d.upstreamId().equals(ownId)
                    && now - d.learnedNanos() < settings.keyRetentionNanos()
                    && !(d.planned() && keysTransferred.contains(d.upstreamId()));
            if (relevant && !createdAfter(key, d.learnedNanos())) {
                return true;
            }
        }
        return false;
    }

    private boolean createdAfter(String key, long nanos) {
        long wallThen = timers.wallMillis() - (timers.nanos() - nanos) / NANOS_PER_MILLI;
        return KeyTimestamp.of(key)
                .map(created -> created > wallThen + settings.maxSkewMillis())
                .orElse(false);
    }
}
