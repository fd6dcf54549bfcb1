package org.verbenadyke.kernel.quota;

/**
 * Computes which share of a team's demand is surplus: what the team requests now beyond twice its usual rate. Not
 * thread-safe.
 *
 * <p>Load pattern: an overloaded service, and one team that sends many times its usual rate, yet stays within its
 * limit. Twice the usual rate is no surplus, since callers vary that much without a cause of their own.
 */
final class DemandSurplus {
    /**
     * The maximum share. The rest of the team's requests is served like those of other teams, so that the team is
     * served at least 0.3 times as often as they are; the guarantee is a quarter.
     */
    static final double MAX_SHARE = 0.7;

    /** The time constant of the present rate, in seconds: shorter than a surge, as long as permits last at a node. */
    private static final double PRESENT_SECONDS = 1;

    /** The time constant of the usual rate, in seconds: several times the length of a surge. */
    private static final double USUAL_SECONDS = 30;

    /** By how many times a team may exceed its usual rate without surplus. */
    private static final double TOLERATED_INCREASE = 2;

    /**
     * The usual rate that each team is granted, in permits per second. At lower rates the random variation within a
     * second exceeds twice the mean every few seconds, and such a team overloads no service.
     */
    private static final double MIN_USUAL_PER_SECOND = 4;

    /** How long a new team's demand has no surplus, in nanoseconds: its usual rate is not known yet. */
    private static final long LEARNING_NANOS = 5_000_000_000L;

    /**
     * After how long without demand a team counts as new, in nanoseconds. The usual rate has decayed by less than the
     * tolerated increase by then, so that a team that was not seen for a while, as during a network partition, has no
     * surplus when it continues at its usual rate.
     */
    private static final long FORGET_NANOS = 15_000_000_000L;

    /**
     * The growth of the number of members from which on all teams count as new. After a network partition the demand of
     * nodes that this allocator did not serve is no surge.
     */
    private static final double MAX_GROWTH = 1.25;

    private SmoothedRate present;
    private SmoothedRate usual;
    private long firstNanos;
    private long lastNanos;
    private int fewestMembers = Integer.MAX_VALUE;

    private DemandSurplus(long now) {
        restart(now);
    }

    /**
     * Creates the state of a team without demand.
     *
     * @param now the time, in nanoseconds
     * @return the state
     */
    static DemandSurplus startingAt(long now) {
        return new DemandSurplus(now);
    }

    /**
     * Records demand.
     *
     * @param permits the permits that a node leased, less those that it returned unused
     * @param members the members alive, whose demand this allocator sees
     * @param now the time, in nanoseconds
     */
    void record(int permits, int members, long now) {
        if (members > MAX_GROWTH * fewestMembers) {
            restart(now);
            fewestMembers = members;
        }
        fewestMembers = Math.min(fewestMembers, members);
        if (permits > 0) {
            if (now - lastNanos > FORGET_NANOS) {
                restart(now);
            }
            lastNanos = now;
        }
        present.add(permits, now);
        usual.add(permits, now);
    }

    /**
     * Returns the share of the demand that is surplus.
     *
     * @param now the time, in nanoseconds
     * @return from 0 to {@link #MAX_SHARE}
     */
    double share(long now) {
        double presentRate = present.perSecond(now);
        if (now - firstNanos < LEARNING_NANOS || presentRate <= 0) {
            return 0;
        }
        double usualRate = Math.max(MIN_USUAL_PER_SECOND, usual.perSecond(now));
        return Math.clamp(1 - TOLERATED_INCREASE * usualRate / presentRate, 0, MAX_SHARE);
    }

    private void restart(long now) {
        present = SmoothedRate.since(PRESENT_SECONDS, now);
        usual = SmoothedRate.since(USUAL_SECONDS, now);
        firstNanos = now;
        lastNanos = now;
    }
}
