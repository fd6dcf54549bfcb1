package org.verbenadyke.kernel.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.team.RateLimit;

/**
 * The permits of one team, kept by the node that deals them: a token bucket in which permits that nodes hold still take
 * up room. So whatever is used in a window was in the bucket at its beginning or flowed in since, whoever used it.
 *
 * <p>Load pattern: a team's requests enter at many nodes, a few a second at each, and the nodes change. Permits follow
 * the demand, each is held by one node at a time, and those of a node that is gone lapse.
 */
final class Account {
    private static final double SECOND = 1e9;
    private static final double MILLIS = 1e3;

    /** The share of the free permits that one node may take ahead of its need. */
    private static final double AHEAD_SHARE = 0.25;

    private final QuotaSettings settings;
    private final Map<String, Loan> loans = new HashMap<>();
    private double level;
    private long updatedNanos;
    private long promisedNanos;

    /**
     * Opens an empty account.
     *
     * @param settings how permits are dealt
     * @param sinceNanos when this node began to deal the team's permits
     */
    Account(QuotaSettings settings, long sinceNanos) {
        this.settings = settings;
        this.updatedNanos = sinceNanos;
        this.promisedNanos = sinceNanos;
    }

    /**
     * Deals permits to a node.
     *
     * @param node the node
     * @param demand what it asks for
     * @param limit the team's limit
     * @param share the part of the limit that this dealer deals, from 0 to 1
     * @param now the time, in nanoseconds
     * @return what it gets
     */
    Deal deal(String node, Demand demand, RateLimit limit, double share, long now) {
        double rate = limit.perSecond() * share;
        double capacity = Math.max(1, settings.tolerance().capacity(limit) * share);
        lapse(rate, capacity, now);
        fill(rate, capacity, now);
        loans.remove(node);
        level = Math.min(level + demand.returned(), capacity - lent() - demand.held());
        int granted = grant(demand);
        level -= granted;
        long until = now + settings.leaseNanos() + settings.marginNanos();
        loans.put(node, new Loan(demand.held() + granted, until));
        return new Deal(granted, granted < demand.needed() ? promise(demand.needed() - granted, rate, now) : 0);
    }

    /** Drops loans that have lapsed, in their order: until then each took up room. */
    private void lapse(double rate, double capacity, long now) {
        List<Loan> lapsed = loans.values().stream()
                .filter(l -> now - l.untilNanos() > 0)
                .sorted(Comparator.comparingLong(Loan::untilNanos))
                .toList();
        for (Loan loan : lapsed) {
            fill(rate, capacity, loan.untilNanos());
            loans.values().remove(loan);
        }
    }

    /** Lets permits flow in up to a time, as far as there was room beside those that nodes held. */
    private void fill(double rate, double capacity, long until) {
        double flown = Math.max(0, until - updatedNanos) / SECOND * rate;
        level = Math.min(capacity - lent(), level + flown);
        updatedNanos = Math.max(updatedNanos, until);
    }

    private int lent() {
        return loans.values().stream().mapToInt(Loan::permits).sum();
    }

    private int grant(Demand demand) {
        int free = (int) Math.max(0, Math.floor(level));
        int ahead = (int) (free * AHEAD_SHARE);
        return Math.min(demand.wanted(), Math.max(ahead, Math.min(demand.needed(), free)));
    }

    /** Puts requests that get none in line after those that were put off before, so that they don't return together. */
    private long promise(int requests, double rate, long now) {
        if (rate <= 0) {
            return settings.leaseNanos() / (long) (SECOND / MILLIS);
        }
        long from = Math.max(promisedNanos, now);
        promisedNanos = from + (long) (requests / rate * SECOND);
        double millis = (promisedNanos - now) / SECOND * MILLIS;
        return Math.max(1, (long) Math.ceil(millis));
    }

    /**
     * Permits that a node holds.
     *
     * @param permits how many
     * @param untilNanos when they have lapsed for sure
     */
    private record Loan(int permits, long untilNanos) {}
}
