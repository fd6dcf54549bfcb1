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
import org.verbenadyke.kernel.dispatch.RetryAfter;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Holds each team to its limit over all nodes. One node deals a team's permits, see {@link Account}; every node asks it
 * for as many as it is about to use, and admits requests as long as it has some. Safe for many threads.
 *
 * <p>Load pattern: a few large teams whose requests enter everywhere, and many small ones whose callers each stay with
 * a node or two. Equal shares would refuse the small ones far below their limits.
 */
public final class TeamLimiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How often permits that lapsed are given back, in nanoseconds. */
    private static final long SWEEP_NANOS = 500 * NANOS_PER_MILLI;

    /** How soon a dealer is asked again that does not deal yet, in nanoseconds. */
    private static final long AGAIN_NANOS = 50 * NANOS_PER_MILLI;

    /** The least time after which a caller may come back that no dealer answers for, in milliseconds. */
    private static final long UNCERTAIN_RETRY_MILLIS = 300;

    private final Parts parts;
    private final QuotaSettings settings;
    private final Map<String, Permits> permits = new ConcurrentHashMap<>();
    private final PermitDealer dealer;
    private final AtomicLong tickets = new AtomicLong();
    private final AtomicBoolean sweeping = new AtomicBoolean();

    private TeamLimiter(Parts parts, QuotaSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.dealer = PermitDealer.create(parts.timers(), parts.dealers(), parts.teams(), settings);
    }

    /**
     * Creates the limiter of a node.
     *
     * @param parts what it works with
     * @param settings how permits are dealt and kept
     * @return the limiter
     */
    public static TeamLimiter create(Parts parts, QuotaSettings settings) {
        return new TeamLimiter(parts, settings);
    }

    /**
     * Takes a request of a team.
     *
     * @param team the team
     * @param taker is told, now or soon, whether the request may go on
     */
    public void admit(Team team, AdmissionCallback taker) {
        if (team.limit().isEmpty()) {
            taker.admitted();
            return;
        }
        startSweeping();
        long now = parts.timers().nanos();
        Permits p = permits.computeIfAbsent(team.name(), t -> new Permits(settings, now));
        boolean admitted;
        long blockedNanos;
        synchronized (p) {
            admitted = p.take(now);
            blockedNanos = admitted ? 0 : Math.max(0, p.blockedFor(now));
            if (!admitted && blockedNanos == 0) {
                p.await(taker, now);
            }
        }
        if (admitted) {
            taker.admitted();
        } else if (blockedNanos > 0) {
            taker.refused(limited(blockedNanos / NANOS_PER_MILLI));
        }
        ask(team.name(), p);
    }

    /**
     * Takes a permit back whose request never ran.
     *
     * @param team the request's team
     */
    public void returnPermit(Team team) {
        Permits p = permits.get(team.name());
        if (p == null || team.limit().isEmpty()) {
            return;
        }
        List<AdmissionCallback> admitted;
        synchronized (p) {
            p.giveBack(parts.timers().nanos());
            admitted = p.admitted();
        }
        admitted.forEach(AdmissionCallback::admitted);
    }

    /**
     * Takes a message of another node.
     *
     * @param link the link it came by
     * @param message a question for permits, or the answer to one
     */
    public void received(Link link, Message message) {
        switch (message) {
            case Message.QuotaRequest m -> {
                Demand demand = new Demand(m.leased(), m.returned(), m.needed(), m.requested());
                Optional<Deal> deal = dealer.deal(m.node(), m.team(), demand);
                link.send(new Message.QuotaReply(
                        m.ticket(),
                        m.team(),
                        deal.isPresent(),
                        deal.map(Deal::granted).orElse(0),
                        deal.map(Deal::afterMillis).orElse(0L)));
            }
            case Message.QuotaReply m ->
                told(
                        m.team(),
                        m.ticket(),
                        m.fromAllocator()
                                ? Optional.of(new Deal(m.granted(), m.availableAfterMillis()))
                                : Optional.empty());
            default -> throw new IllegalArgumentException("no message about permits: " + message);
        }
    }

    /** Takes notice that members came or went. */
    public void membersChanged() {
        dealer.membersChanged();
    }

    private void ask(String team, Permits p) {
        long now = parts.timers().nanos();
        long ticket = tickets.incrementAndGet();
        Demand demand;
        synchronized (p) {
            if (!p.low(now) && !p.owes(now)) {
                return;
            }
            demand = p.ask(ticket, now);
        }
        if (parts.dealers().here(team)) {
            told(team, ticket, dealer.deal(parts.self(), team, demand));
            return;
        }
        Subscription patience = parts.timers().after(settings.patienceNanos(), () -> silent(team, ticket));
        synchronized (p) {
            p.answerExpected(patience);
        }
        Optional<MemberRecord> node = parts.dealers().dealer(team);
        if (node.isEmpty()) {
            told(team, ticket, Optional.empty());
            return;
        }
        Message.QuotaRequest question = new Message.QuotaRequest(
                ticket, parts.self(), team, demand.held(), demand.returned(), demand.needed(), demand.wanted());
        parts.courier().send(node.get(), question, () -> told(team, ticket, Optional.empty()));
    }

    /** Takes the answer to a question; empty if the node that was asked does not deal the team's permits now. */
    private void told(String team, long ticket, Optional<Deal> deal) {
        Permits p = permits.get(team);
        if (p == null) {
            return;
        }
        long now = parts.timers().nanos();
        List<AdmissionCallback> admitted;
        List<AdmissionCallback> refused = List.of();
        boolean waits;
        long afterMillis = deal.map(Deal::afterMillis).orElse(AGAIN_NANOS / NANOS_PER_MILLI);
        synchronized (p) {
            if (!p.awaits(ticket)) {
                return;
            }
            p.answered();
            p.add(deal.map(Deal::granted).orElse(0), now);
            admitted = p.admitted();
            boolean soon = afterMillis * NANOS_PER_MILLI <= settings.holdNanos() || deal.isEmpty();
            if (p.waits() && (!soon || p.waitedNanos(now) > settings.patienceNanos())) {
                refused = p.giveUp();
                p.block(deal.isEmpty() ? 0 : Math.min(settings.blockMostNanos(), afterMillis * NANOS_PER_MILLI), now);
            }
            waits = p.waits();
        }
        admitted.forEach(AdmissionCallback::admitted);
        Refusal refusal = deal.isPresent() ? limited(afterMillis) : uncertain();
        refused.forEach(t -> t.refused(refusal));
        if (waits) {
            parts.timers().after(afterMillis * NANOS_PER_MILLI, () -> ask(team, p));
        }
    }

    private void silent(String team, long ticket) {
        Permits p = permits.get(team);
        if (p == null) {
            return;
        }
        List<AdmissionCallback> refused;
        synchronized (p) {
            if (!p.awaits(ticket)) {
                return;
            }
            p.answered();
            refused = p.giveUp();
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
            boolean owes;
            synchronized (p) {
                owes = p.owes(now);
                if (p.idle(now)) {
                    permits.remove(team, p);
                }
            }
            if (owes) {
                ask(team, p);
            }
        });
    }

    private Refusal limited(long afterMillis) {
        return Refusal.notRun(
                RefusalReason.RATE_LIMITED,
                RetryAfter.spread(Math.max(1, afterMillis), parts.random().get()));
    }

    private Refusal uncertain() {
        return Refusal.notRun(
                RefusalReason.TEAM_UNCERTAIN,
                RetryAfter.spread(UNCERTAIN_RETRY_MILLIS, parts.random().get()));
    }

    /**
     * A request that asks for a permit.
     */
    public interface AdmissionCallback {
        /** The request may go on. */
        void admitted();

        /**
         * The request is refused.
         *
         * @param refusal why, and when its caller may come back
         */
        void refused(Refusal refusal);
    }

    /**
     * Brings questions to other nodes.
     */
    @FunctionalInterface
    public interface Courier {
        /**
         * Sends a message.
         *
         * @param node the node
         * @param message the message
         * @param unreachable is run when it can't be sent
         */
        void send(MemberRecord node, Message message, Runnable unreachable);
    }

    /**
     * What a limiter works with.
     *
     * @param self the node's name
     * @param timers the time
     * @param random where randomness comes from
     * @param dealers which node deals the permits of each team
     * @param teams finds a team of the plan in force by its name
     * @param courier brings questions to other nodes
     */
    public record Parts(
            String self,
            TimerService timers,
            Supplier<RandomGenerator> random,
            Dealers dealers,
            Function<String, Optional<Team>> teams,
            Courier courier) {}
}
