package org.verbenadyke.kernel.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.team.RateLimit;

/**
 * The permits of one team, held by the node that allocates them: a token bucket in which permits leased to nodes still
 * count against the capacity. So every permit used in a window was in the bucket at the start of that window or was
 * added since, whichever node used it.
 *
 * <p>Load pattern: a team's requests enter at many nodes, a few a second at each, and the nodes change. Permits follow
 * the demand, each is leased to one node at a time, and the leases of a node that is gone expire.
 */
final class PermitBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The share of the free permits that one node may lease beyond what its waiting requests need. */
    private static final double PREFETCH_SHARE = 0.25;

    private final QuotaSettings settings;
    private final Map<String, Lease> leases = new HashMap<>();
    private double level;
    private long updatedNanos;
    private long reservedUntilNanos;

    /**
     * Creates an empty bucket.
     *
     * @param settings how permits are allocated
     * @param sinceNanos when this node became the team's allocator, in nanoseconds
     */
    PermitBucket(QuotaSettings settings, long sinceNanos) {
        this.settings = settings;
        this.updatedNanos = sinceNanos;
        this.reservedUntilNanos = sinceNanos;
    }

    /**
     * Leases permits to a node.
     *
     * @param node the node
     * @param demand what the node requests
     * @param limit the team's limit
     * @param share the share of the limit that this node allocates, from 0 to 1
     * @param now the time, in nanoseconds
     * @return the permits granted, and when the next one is free
     */
    Allocation allocate(String node, Demand demand, RateLimit limit, double share, long now) {
        double rate = limit.perSecond() * share;
        double capacity = Math.max(1, settings.tolerance().capacity(limit) * share);
        expireLeases(rate, capacity, now);
        refill(rate, capacity, now);
        leases.remove(node);
        level = Math.min(level + demand.returned(), capacity - leased() - demand.leased());
        int granted = grant(demand);
        level -= granted;
        long until = now + settings.leaseNanos() + settings.marginNanos();
        leases.put(node, new Lease(demand.leased() + granted, until));
        long availableAfterMillis = granted < demand.needed() ? reserve(demand.needed() - granted, rate, now) : 0;
        return new Allocation(granted, availableAfterMillis, 0);
    }

    /** Drops expired leases, in order of expiry: until it expired, each counted against the capacity. */
    private void expireLeases(double rate, double capacity, long now) {
        List<Lease> expired = leases.values().stream()
                .filter(l -> now - l.untilNanos() > 0)
                .sorted(Comparator.comparingLong(Lease::untilNanos))
                .toList();
        for (Lease lease : expired) {
            refill(rate, capacity, lease.untilNanos());
            leases.values().remove(lease);
        }
    }

    /** Adds the permits due up to a time, as far as the capacity not taken up by leases allows. */
    private void refill(double rate, double capacity, long until) {
        double refilled = Math.max(0, until - updatedNanos) / NANOS_PER_SECOND * rate;
        level = Math.min(capacity - leased(), level + refilled);
        updatedNanos = Math.max(updatedNanos, until);
    }

    private int leased() {
        return leases.values().stream().mapToInt(Lease::permits).sum();
    }

    private int grant(Demand demand) {
        int free = (int) Math.max(0, Math.floor(level));
        int prefetch = (int) (free * PREFETCH_SHARE);
        return Math.min(demand.requested(), Math.max(prefetch, Math.min(demand.needed(), free)));
    }

    /**
     * Reserves future permits for requests that got none, after those reserved before, so that the requests aren't
     * retried all at once.
     *
     * @return after how many milliseconds to retry
     */
    private long reserve(int requests, double rate, long now) {
        if (rate <= 0) {
            return settings.leaseNanos() / (long) (NANOS_PER_SECOND / MILLIS_PER_SECOND);
        }
        long from = Math.max(reservedUntilNanos, now);
        reservedUntilNanos = from + (long) (requests / rate * NANOS_PER_SECOND);
        double millis = (reservedUntilNanos - now) / NANOS_PER_SECOND * MILLIS_PER_SECOND;
        return Math.max(1, (long) Math.ceil(millis));
    }

    /**
     * Permits leased to a node.
     *
     * @param permits how many
     * @param untilNanos when the lease has certainly expired, in nanoseconds
     */
    private record Lease(int permits, long untilNanos) {}
}
