package org.verbenadyke.kernel.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;

import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.routing.Upstream;

/**
 * The members that a node knows, with those that left or were given up kept for a while so that they aren't revived.
 * Merging is idempotent and independent of order. Safe for many threads.
 */
public final class MemberTable {
    /** How many buckets a digest has. */
    public static final int BUCKETS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Entry> table = new ConcurrentHashMap<>();

    private final AtomicLongArray digests = new AtomicLongArray(BUCKETS);
    private final Map<String, Departure> departures = new ConcurrentHashMap<>();

    private MemberTable() {}

    /**
     * Creates a table.
     *
     * @return an empty table
     */
    public static MemberTable empty() {
        return new MemberTable();
    }

    /**
     * Merges a record.
     *
     * @param record the record
     * @param nowNanos the time
     * @return whether it was news
     */
    public boolean merge(MemberRecord record, long nowNanos) {
        Entry merged = table.compute(record.nodeId(), (id, known) -> {
            boolean old = known != null && !record.supersedes(known.record());
            if (old) {
                return known;
            }
            noteDeparture(known, record, nowNanos);
            Entry next = Entry.after(known, record, nowNanos);
            count(known);
            count(next);
            return next;
        });
        return merged.record() == record;
    }

    /**
     * Forgets members that left or were given up long ago. Half that time after they went they are no longer compared
     * with other nodes, on all nodes at the same wall time, so that none learns of them anew from one that forgets
     * late.
     *
     * @param nowNanos the time
     * @param nowMillis the wall clock's time, in milliseconds since the epoch
     * @param keptNanos how long they are kept, in nanoseconds
     */
    public void expire(long nowNanos, long nowMillis, long keptNanos) {
        long compared = nowMillis - keptNanos / NANOS_PER_MILLI / 2;
        for (Entry e : table.values()) {
            if (e.counted() && !e.record().state().present() && e.record().changedMillis() < compared) {
                Entry quiet = new Entry(e.record(), e.since(), e.fingerprint(), false);
                if (table.replace(e.record().nodeId(), e, quiet)) {
                    count(e);
                }
            }
        }
        table.values().removeIf(e -> !e.counted() && nowNanos - e.since() > keptNanos);
        departures.values().removeIf(d -> nowNanos - d.learnedNanos() > keptNanos);
    }

    /**
     * Lists the upstreams that are gone: given up, stopped, or back under another id.
     *
     * @return the departures
     */
    public Collection<Departure> departures() {
        return departures.values();
    }

    /**
     * Finds a member.
     *
     * @param nodeId the node's name
     * @return its record
     */
    public Optional<MemberRecord> find(String nodeId) {
        return Optional.ofNullable(table.get(nodeId)).map(Entry::record);
    }

    /**
     * Lists the members.
     *
     * @return every record, those of members that are gone too
     */
    public List<MemberRecord> records() {
        return table.values().stream().map(Entry::record).toList();
    }

    /**
     * Lists the upstreams that may get new work.
     *
     * @return the upstreams
     */
    public List<Upstream> accepting() {
        return table.values().stream()
                .map(Entry::record)
                .filter(r -> r.state().accepting())
                .flatMap(r -> r.upstream().stream())
                .toList();
    }

    /**
     * Lists the members that may be running.
     *
     * @return their records
     */
    public List<MemberRecord> present() {
        return table.values().stream()
                .map(Entry::record)
                .filter(r -> r.state().present())
                .toList();
    }

    /**
     * Counts the members that were lost and may still run behind a cut: suspected, or given up lately.
     *
     * @param nowNanos the time
     * @param withinNanos how long ago a member counts that was given up, in nanoseconds
     * @return their number
     */
    public int lost(long nowNanos, long withinNanos) {
        int lost = 0;
        for (Entry e : table.values()) {
            boolean suspected = e.record().state() == MemberState.SUSPECT;
            boolean givenUp = e.record().state() == MemberState.DEAD && nowNanos - e.since() < withinNanos;
            lost += suspected || givenUp ? 1 : 0;
        }
        return lost;
    }

    /**
     * Hashes the whole table.
     *
     * @return the same for equal tables, whatever the order of merging
     */
    public long digest() {
        long h = 0;
        for (int i = 0; i < BUCKETS; i++) {
            h ^= digests.get(i);
        }
        return h;
    }

    /**
     * Hashes the table bucket by bucket.
     *
     * @return {@link #BUCKETS} hashes
     */
    public long[] bucketDigests() {
        long[] copy = new long[BUCKETS];
        for (int i = 0; i < BUCKETS; i++) {
            copy[i] = digests.get(i);
        }
        return copy;
    }

    /**
     * Lists what is compared with other nodes.
     *
     * @return the records that the digests cover
     */
    public List<MemberRecord> compared() {
        return table.values().stream().filter(Entry::counted).map(Entry::record).toList();
    }

    /**
     * Finds the bucket of a member.
     *
     * @param nodeId the node's name
     * @return from 0 to {@link #BUCKETS} - 1
     */
    public static int bucket(String nodeId) {
        return (int) Math.floorMod(Rendezvous.hash(nodeId, ""), (long) BUCKETS);
    }

    /** Takes an entry into the digests, or out of them. */
    private void count(Entry entry) {
        if (entry != null && entry.counted()) {
            digests.accumulateAndGet(bucket(entry.record().nodeId()), entry.fingerprint(), (a, b) -> a ^ b);
        }
    }

    private void noteDeparture(Entry known, MemberRecord record, long now) {
        if (!record.state().present()) {
            note(record, record.state() == MemberState.LEFT, now);
        }
        if (known != null
                && known.record().state().present()
                && !known.record().upstreamId().equals(record.upstreamId())) {
            note(known.record(), false, now);
        }
    }

    private void note(MemberRecord gone, boolean planned, long now) {
        if (!gone.service().isEmpty()) {
            departures.putIfAbsent(gone.upstreamId(), new Departure(gone.upstreamId(), gone.service(), planned, now));
        }
    }

    /**
     * An upstream that is gone.
     *
     * @param upstreamId its id
     * @param service the service it served
     * @param planned whether it stopped as planned
     * @param learnedNanos when this node learned of it, in nanoseconds
     */
    public record Departure(String upstreamId, String service, boolean planned, long learnedNanos) {}

    /**
     * A member and when its presence changed last.
     *
     * @param record the record
     * @param since when this node learned that the member came or went, in nanoseconds
     * @param fingerprint the record's hash
     * @param counted whether the digests cover it
     */
    public record Entry(MemberRecord record, long since, long fingerprint, boolean counted) {
        static Entry after(Entry known, MemberRecord record, long now) {
            boolean same = known != null
                    && known.record().incarnation() == record.incarnation()
                    && known.record().epoch() == record.epoch()
                    && known.record().state().present() == record.state().present();
            return new Entry(record, same ? known.since() : now, record.fingerprint(), true);
        }
    }
}
