package org.verbenadyke.kernel.quota;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.dispatch.RetryAfter;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Holds each team to its limit over all nodes. One node allocates a team's permits, see {@link PermitBucket}; every
 * node leases from it as many as that node is about to use, and admits requests as long as it has some. Thread-safe.
 *
 * <p>Load pattern: a few large teams whose requests enter everywhere, and many small ones whose callers each stay with
 * a node or two. Equal shares of each limit on all nodes would refuse the small teams far below their limits.
 */
public final class TeamLimiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How often expired permits are returned, in nanoseconds. */
    private static final long SWEEP_NANOS = 500 * NANOS_PER_MILLI;

    /** After how long permits are requested again from an allocator that does not allocate yet, in nanoseconds. */
    private static final long RETRY_NANOS = 50 * NANOS_PER_MILLI;

    /** The minimum Retry-After delay when no allocator answered, in milliseconds. */
    private static final long UNCERTAIN_RETRY_MILLIS = 300;

    /** Makes the selection of surplus independent of ranks and of other selections by a request's id. */
    private static final long SURPLUS_SALT = 0x9e3779b97f4a7c15L;

    private final Parts parts;
    private final QuotaSettings settings;
    private final Map<String, LeasedPermits> permits = new ConcurrentHashMap<>();
    private final PermitAllocator allocator;
    private final AtomicLong tickets = new AtomicLong();
    private final AtomicBoolean sweeping = new AtomicBoolean();

    private TeamLimiter(Parts parts, QuotaSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.allocator = PermitAllocator.create(parts.timers(), parts.directory(), parts.teams(), settings);
    }

    /**
     * Creates the limiter of a node.
     *
     * @param parts the components that the limiter uses
     * @param settings how permits are leased, requested and waited for
     * @return the limiter
     */
    public static TeamLimiter create(Parts parts, QuotaSettings settings) {
        return new TeamLimiter(parts, settings);
    }

    /**
     * Admits or refuses a request of a team.
     *
     * @param team the team
     * @param callback called, now or soon, with the decision
     */
    public void admit(Team team, AdmissionCallback callback) {
        if (team.limit().isEmpty()) {
            callback.admitted();
            return;
        }
        startSweeping();
        long now = parts.timers().nanos();
        LeasedPermits p = permits.computeIfAbsent(team.name(), t -> new LeasedPermits(settings, now));
        boolean admitted;
        long blockedNanos;
        synchronized (p) {
            admitted = p.take(now);
            blockedNanos = admitted ? 0 : Math.max(0, p.blockedForNanos(now));
            if (!admitted && blockedNanos == 0) {
                p.enqueue(callback, now);
            }
        }
        if (admitted) {
            callback.admitted();
        } else if (blockedNanos > 0) {
            callback.refused(rateLimited(blockedNanos / NANOS_PER_MILLI));
        }
        requestPermits(team.name(), p);
    }

    /**
     * Returns the permit of a request that never ran.
     *
     * @param team the request's team
     */
    public void returnPermit(Team team) {
        LeasedPermits p = permits.get(team.name());
        if (p == null || team.limit().isEmpty()) {
            return;
        }
        List<AdmissionCallback> admitted;
        synchronized (p) {
            p.returnPermit(parts.timers().nanos());
            admitted = p.admitWaiting();
        }
        admitted.forEach(AdmissionCallback::admitted);
    }

    /**
     * Returns whether a request belongs to the surplus of its team, which is refused before the requests of others of
     * the same importance. The hash of the id selects the share that the team's allocator reported.
     *
     * @param team the request's team
     * @param request the request's id
     * @return whether the request is surplus; false for a team without a limit
     */
    public boolean surplus(Team team, RequestId request) {
        LeasedPermits p = permits.get(team.name());
        if (p == null || team.limit().isEmpty()) {
            return false;
        }
        double share;
        synchronized (p) {
            share = p.surplusShare(parts.timers().nanos());
        }
        return request.sample(SURPLUS_SALT) < share;
    }

    /**
     * Handles a message of another node.
     *
     * @param link the link by which the message arrived
     * @param message a request for permits, or the answer to one
     */
    public void received(Link link, Message message) {
        switch (message) {
            case Message.QuotaRequest m -> {
                Demand demand = new Demand(m.leased(), m.returned(), m.needed(), m.requested());
                Optional<Allocation> allocation = allocator.allocate(m.node(), m.team(), demand);
                link.send(new Message.QuotaReply(
                        m.ticket(),
                        m.team(),
                        allocation.isPresent(),
                        allocation.map(Allocation::granted).orElse(0),
                        allocation.map(Allocation::availableAfterMillis).orElse(0L),
                        allocation.map(Allocation::surplusShare).orElse(0.0)));
            }
            case Message.QuotaReply m ->
                onAllocation(
                        m.team(),
                        m.ticket(),
                        m.fromAllocator()
                                ? Optional.of(new Allocation(m.granted(), m.availableAfterMillis(), m.surplusShare()))
                                : Optional.empty());
            default -> throw new IllegalArgumentException("not a message about permits: " + message);
        }
    }

    /** Called when members joined or left. */
    public void membersChanged() {
        allocator.membersChanged();
    }

    private void requestPermits(String team, LeasedPermits p) {
        long now = parts.timers().nanos();
        long ticket = tickets.incrementAndGet();
        Demand demand;
        synchronized (p) {
            if (!p.needsRefill(now) && !p.hasPermitsToReturn(now)) {
                return;
            }
            demand = p.request(ticket, now);
        }
        if (parts.directory().isLocal(team)) {
            onAllocation(team, ticket, allocator.allocate(parts.self(), team, demand));
            return;
        }
        Subscription timeout = parts.timers().after(settings.allocatorTimeoutNanos(), () -> onTimeout(team, ticket));
        synchronized (p) {
            p.setTimeout(timeout);
        }
        Optional<MemberRecord> node = parts.directory().allocator(team);
        if (node.isEmpty()) {
            onAllocation(team, ticket, Optional.empty());
            return;
        }
        Message.QuotaRequest request = new Message.QuotaRequest(
                ticket, parts.self(), team, demand.leased(), demand.returned(), demand.needed(), demand.requested());
        parts.sender().send(node.get(), request, () -> onAllocation(team, ticket, Optional.empty()));
    }

    /** Handles the answer to a request; empty if the queried node does not allocate the team's permits now. */
    private void onAllocation(String team, long ticket, Optional<Allocation> allocation) {
        LeasedPermits p = permits.get(team);
        if (p == null) {
            return;
        }
        long now = parts.timers().nanos();
        List<AdmissionCallback> admitted;
        List<AdmissionCallback> refused = List.of();
        boolean waiting;
        long availableAfterMillis =
                allocation.map(Allocation::availableAfterMillis).orElse(RETRY_NANOS / NANOS_PER_MILLI);
        synchronized (p) {
            if (!p.isPending(ticket)) {
                return;
            }
            p.clearPending();
            allocation.ifPresent(a -> p.add(a, now));
            admitted = p.admitWaiting();
            boolean soon = availableAfterMillis * NANOS_PER_MILLI <= settings.maxWaitNanos() || allocation.isEmpty();
            if (p.hasWaiting() && (!soon || p.waitedNanos(now) > settings.allocatorTimeoutNanos())) {
                refused = p.removeWaiting();
                p.block(
                        allocation.isEmpty()
                                ? 0
                                : Math.min(settings.maxBlockNanos(), availableAfterMillis * NANOS_PER_MILLI),
                        now);
            }
            waiting = p.hasWaiting();
        }
        admitted.forEach(AdmissionCallback::admitted);
        Refusal refusal = allocation.isPresent() ? rateLimited(availableAfterMillis) : uncertain();
        refused.forEach(t -> t.refused(refusal));
        if (waiting) {
            parts.timers().after(availableAfterMillis * NANOS_PER_MILLI, () -> requestPermits(team, p));
        }
    }

    private void onTimeout(String team, long ticket) {
        LeasedPermits p = permits.get(team);
        if (p == null) {
            return;
        }
        List<AdmissionCallback> refused;
        synchronized (p) {
            if (!p.isPending(ticket)) {
                return;
            }
            p.clearPending();
            refused = p.removeWaiting();
        }
        refused.forEach(t -> t.refused(uncertain()));
    }

    private void startSweeping() {
        if (sweeping.compareAndSet(false, true)) {
            parts.timers().every(SWEEP_NANOS, this::sweep);
        }
    }

    private void sweep() {
        long now = parts.timers().nanos();
        permits.forEach((team, p) -> {
            boolean returns;
            synchronized (p) {
                returns = p.hasPermitsToReturn(now);
                if (p.idle(now)) {
                    permits.remove(team, p);
                }
            }
            if (returns) {
                requestPermits(team, p);
            }
        });
    }

    private Refusal rateLimited(long retryAfterMillis) {
        return Refusal.notRun(
                RefusalReason.RATE_LIMITED,
                RetryAfter.spread(Math.max(1, retryAfterMillis), parts.random().get()));
    }

    private Refusal uncertain() {
        return Refusal.notRun(
                RefusalReason.TEAM_UNCERTAIN,
                RetryAfter.spread(UNCERTAIN_RETRY_MILLIS, parts.random().get()));
    }

    /**
     * Receives the decision on a request.
     */
    public interface AdmissionCallback {
        /** Called when the request is admitted. */
        void admitted();

        /**
         * Called when the request is refused.
         *
         * @param refusal the reason, and when the caller may retry
         */
        void refused(Refusal refusal);
    }

    /**
     * Sends messages to other nodes.
     */
    @FunctionalInterface
    public interface MessageSender {
        /**
         * Sends a message.
         *
         * @param node the node
         * @param message the message
         * @param unreachable run when the message can't be sent
         */
        void send(MemberRecord node, Message message, Runnable unreachable);
    }

    /**
     * The components that a limiter uses.
     *
     * @param self the node's name
     * @param timers the clock and timers
     * @param random the source of randomness
     * @param directory determines which node allocates the permits of each team
     * @param teams finds a team of the plan in force by its name
     * @param sender sends messages to other nodes
     */
    public record Parts(
            String self,
            TimerService timers,
            Supplier<RandomGenerator> random,
            AllocatorDirectory directory,
            Function<String, Optional<Team>> teams,
            MessageSender sender) {}
}
