package org.verbenadyke.kernel.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.verbenadyke.kernel.time.Subscription;

/**
 * The permits of one team leased to this node, the expected need for more, and the requests that wait for permits. Not
 * thread-safe; guarded by {@link TeamLimiter}.
 */
final class LeasedPermits {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The interval over which requests are counted, in nanoseconds. */
    private static final long COUNT_INTERVAL_NANOS = 500_000_000L;

    /** Weight of the newest interval in the moving average of the request rate. */
    private static final double SMOOTHING = 0.5;

    /** The share of the expected use below which more permits are requested, before they run out. */
    private static final double LOW_SHARE = 0.34;

    private final QuotaSettings settings;
    private final Deque<TeamLimiter.AdmissionCallback> waiting = new ArrayDeque<>();
    private int leased;
    private long expiresNanos;
    private int toReturn;
    private long pendingTicket;
    private Subscription timeout = () -> {};
    private long requestedNanos;
    private long blockedUntilNanos;
    private long waitingSinceNanos;
    private long countedNanos;
    private int count;
    private double perSecond;
    private ReportedSurplus surplus = new ReportedSurplus(0, 0);

    LeasedPermits(QuotaSettings settings, long now) {
        this.settings = settings;
        this.countedNanos = now;
        this.blockedUntilNanos = now;
    }

    /** Counts a request and takes a permit for it, if one is left. */
    boolean take(long now) {
        count(now);
        count++;
        expire(now);
        if (leased == 0) {
            return false;
        }
        leased--;
        return true;
    }

    /** Returns the permit of a request that never ran. */
    void returnPermit(long now) {
        expire(now);
        if (now - expiresNanos < 0) {
            leased++;
        } else {
            toReturn++;
        }
    }

    void enqueue(TeamLimiter.AdmissionCallback callback, long now) {
        if (waiting.isEmpty()) {
            waitingSinceNanos = now;
        }
        waiting.add(callback);
    }

    /** Returns how long the first of the waiting requests has waited, in nanoseconds. */
    long waitedNanos(long now) {
        return now - waitingSinceNanos;
    }

    /**
     * Returns how much longer the node refuses the team's requests without a query to the allocator, in nanoseconds.
     */
    long blockedForNanos(long now) {
        return blockedUntilNanos - now;
    }

    void block(long nanos, long now) {
        blockedUntilNanos = now + nanos;
    }

    /** Returns whether to request permits: requests wait, or the permits in use run low. */
    boolean needsRefill(long now) {
        if (pendingTicket != 0) {
            return false;
        }
        return !waiting.isEmpty() || expectedUse(now) > 1 && leased < expectedUse(now) * LOW_SHARE;
    }

    /** Returns whether expired permits are to be returned to the allocator. */
    boolean hasPermitsToReturn(long now) {
        expire(now);
        return pendingTicket == 0 && toReturn > 0;
    }

    /** Returns whether this object holds no state worth keeping. */
    boolean idle(long now) {
        expire(now);
        count(now);
        return leased == 0 && toReturn == 0 && pendingTicket == 0 && waiting.isEmpty() && perSecond < SMOOTHING;
    }

    /** Creates a request to the allocator and marks it as pending. */
    Demand request(long ticket, long now) {
        expire(now);
        pendingTicket = ticket;
        requestedNanos = now;
        int needed = waiting.size();
        Demand demand = new Demand(leased, toReturn, needed, Math.max(needed, expectedUse(now) - leased));
        toReturn = 0;
        return demand;
    }

    /** Returns whether the request with a ticket is pending. */
    boolean isPending(long ticket) {
        return pendingTicket == ticket;
    }

    /** Sets the timer that fires when the allocator has not answered in time. */
    void setTimeout(Subscription timer) {
        timeout = timer;
    }

    /** Marks that no request is pending any more. */
    void clearPending() {
        pendingTicket = 0;
        timeout.cancel();
    }

    /**
     * Adds permits granted by the allocator and renews the lease of those in hand, since the allocator counts both from
     * now on; they expire a fixed time after they were requested. Not to be called for the reply of another node.
     */
    void add(Allocation allocation, long now) {
        leased += allocation.granted();
        surplus = ReportedSurplus.of(allocation.surplusShare(), now);
        expiresNanos = requestedNanos + settings.leaseNanos();
        expire(now);
    }

    /** Returns the share of the team's requests that is surplus. */
    double surplusShare(long now) {
        return surplus.at(now);
    }

    /** Removes as many waiting requests as there are permits, and returns them as admitted. */
    List<TeamLimiter.AdmissionCallback> admitWaiting() {
        List<TeamLimiter.AdmissionCallback> admitted = new ArrayList<>();
        while (leased > 0 && !waiting.isEmpty()) {
            leased--;
            admitted.add(waiting.poll());
        }
        return admitted;
    }

    /** Removes and returns all waiting requests. */
    List<TeamLimiter.AdmissionCallback> removeWaiting() {
        List<TeamLimiter.AdmissionCallback> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    private int expectedUse(long now) {
        count(now);
        return (int) Math.ceil(perSecond * settings.horizonNanos() / NANOS_PER_SECOND);
    }

    private void expire(long now) {
        if (leased > 0 && now - expiresNanos >= 0) {
            toReturn += leased;
            leased = 0;
        }
    }

    private void count(long now) {
        while (now - countedNanos >= COUNT_INTERVAL_NANOS) {
            perSecond += SMOOTHING * (count * NANOS_PER_SECOND / COUNT_INTERVAL_NANOS - perSecond);
            count = 0;
            countedNanos += COUNT_INTERVAL_NANOS;
            if (now - countedNanos > 8 * COUNT_INTERVAL_NANOS) {
                countedNanos = now;
                perSecond = 0;
            }
        }
    }
}
