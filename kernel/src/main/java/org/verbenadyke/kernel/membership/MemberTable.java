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
 * The members that a node knows. Members that left or were declared dead are kept for a while so that an old record
 * doesn't revive them. Merging is idempotent and independent of order. Thread-safe.
 */
public final class MemberTable {
    /** The number of buckets of the digest. */
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
     * @param nowNanos the time, in nanoseconds
     * @return whether the record changed the table
     */
    public boolean merge(MemberRecord record, long nowNanos) {
        Entry merged = table.compute(record.nodeId(), (id, known) -> {
            boolean old = known != null && !record.supersedes(known.record());
            if (old) {
                return known;
            }
            recordDeparture(known, record, nowNanos);
            Entry next = Entry.after(known, record, nowNanos);
            toggleDigest(known);
            toggleDigest(next);
            return next;
        });
        return merged.record() == record;
    }

    /**
     * Removes members that left or were declared dead longer ago than the retention time. Half the retention time after
     * their departure they are no longer compared with other nodes, on all nodes at the same wall time, so that no node
     * learns of them again from one that removes them late.
     *
     * @param nowNanos the time, in nanoseconds
     * @param nowMillis the wall clock's time, in milliseconds since the epoch
     * @param retentionNanos how long departed members are kept, in nanoseconds
     */
    public void expire(long nowNanos, long nowMillis, long retentionNanos) {
        long comparedSince = nowMillis - retentionNanos / NANOS_PER_MILLI / 2;
        for (Entry e : table.values()) {
            if (e.compared() && !e.record().state().present() && e.record().changedMillis() < comparedSince) {
                Entry uncompared = new Entry(e.record(), e.sinceNanos(), e.fingerprint(), false);
                if (table.replace(e.record().nodeId(), e, uncompared)) {
                    toggleDigest(e);
                }
            }
        }
        table.values().removeIf(e -> !e.compared() && nowNanos - e.sinceNanos() > retentionNanos);
        departures.values().removeIf(d -> nowNanos - d.learnedNanos() > retentionNanos);
    }

    /**
     * Lists the upstreams that are gone: declared dead, stopped, or back under another id.
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
     * @return every record, including those of departed members
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
     * Counts the members that were lost and may still run behind a network partition: those suspected, or declared dead
     * recently.
     *
     * @param nowNanos the time, in nanoseconds
     * @param withinNanos how long a member counts after it was declared dead, in nanoseconds
     * @return the number of such members
     */
    public int possiblyPartitioned(long nowNanos, long withinNanos) {
        int lost = 0;
        for (Entry e : table.values()) {
            boolean suspected = e.record().state() == MemberState.SUSPECT;
            boolean declaredDead = e.record().state() == MemberState.DEAD && nowNanos - e.sinceNanos() < withinNanos;
            lost += suspected || declaredDead ? 1 : 0;
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
     * Lists the records that are compared with other nodes.
     *
     * @return the records that the digests cover
     */
    public List<MemberRecord> compared() {
        return table.values().stream()
                .filter(Entry::compared)
                .map(Entry::record)
                .toList();
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

    /** Adds an entry to the digests, or removes it if they contain it. */
    private void toggleDigest(Entry entry) {
        if (entry != null && entry.compared()) {
            digests.accumulateAndGet(bucket(entry.record().nodeId()), entry.fingerprint(), (a, b) -> a ^ b);
        }
    }

    private void recordDeparture(Entry known, MemberRecord record, long now) {
        if (!record.state().present()) {
            addDeparture(record, record.state() == MemberState.LEFT, now);
        }
        if (known != null
                && known.record().state().present()
                && !known.record().upstreamId().equals(record.upstreamId())) {
            addDeparture(known.record(), false, now);
        }
    }

    private void addDeparture(MemberRecord gone, boolean planned, long now) {
        if (!gone.service().isEmpty()) {
            departures.putIfAbsent(gone.upstreamId(), new Departure(gone.upstreamId(), gone.service(), planned, now));
        }
    }

    /**
     * An upstream that is gone.
     *
     * @param upstreamId its id
     * @param service the service it served
     * @param planned whether the upstream stopped as planned
     * @param learnedNanos when this node learned of it, in nanoseconds
     */
    public record Departure(String upstreamId, String service, boolean planned, long learnedNanos) {}

    /**
     * A member, and when it last joined or left.
     *
     * @param record the record
     * @param sinceNanos when this node learned that the member joined or left, in nanoseconds
     * @param fingerprint the record's hash
     * @param compared whether the digests cover it
     */
    public record Entry(MemberRecord record, long sinceNanos, long fingerprint, boolean compared) {
        static Entry after(Entry known, MemberRecord record, long now) {
            boolean same = known != null
                    && known.record().incarnation() == record.incarnation()
                    && known.record().epoch() == record.epoch()
                    && known.record().state().present() == record.state().present();
            return new Entry(record, same ? known.sinceNanos() : now, record.fingerprint(), true);
        }
    }
}
