package org.verbenadyke.kernel.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.verbenadyke.kernel.time.Subscription;

/**
 * The permits of one team that a node holds, its need for more, and the requests that wait for them. Not safe for
 * threads; {@link TeamLimiter} guards it.
 */
final class Permits {
    private static final double SECOND = 1e9;

    /** The interval over which use is counted, in nanoseconds. */
    private static final long COUNT_NANOS = 500_000_000L;

    /** Weight of the newest interval. */
    private static final double SMOOTHING = 0.5;

    /** The share of the need ahead below which more permits are asked for, before they run out. */
    private static final double LOW_SHARE = 0.34;

    private final QuotaSettings settings;
    private final Deque<TeamLimiter.AdmissionCallback> waiting = new ArrayDeque<>();
    private int held;
    private long lapseNanos;
    private int unused;
    private long asked;
    private Subscription patience = () -> {};
    private long askedNanos;
    private long blockedNanos;
    private long waitingNanos;
    private long countedNanos;
    private int count;
    private double perSecond;

    Permits(QuotaSettings settings, long now) {
        this.settings = settings;
        this.countedNanos = now;
        this.blockedNanos = now;
    }

    /** Counts a request and takes a permit for it, if there is one. */
    boolean take(long now) {
        count(now);
        count++;
        lapse(now);
        if (held == 0) {
            return false;
        }
        held--;
        return true;
    }

    /** Takes a permit back whose request never ran. */
    void giveBack(long now) {
        lapse(now);
        if (now - lapseNanos < 0) {
            held++;
        } else {
            unused++;
        }
    }

    void await(TeamLimiter.AdmissionCallback taker, long now) {
        if (waiting.isEmpty()) {
            waitingNanos = now;
        }
        waiting.add(taker);
    }

    /** Returns how long the first of the waiting requests has waited, in nanoseconds. */
    long waitedNanos(long now) {
        return now - waitingNanos;
    }

    /** Returns how long the node refuses the team's requests by itself, in nanoseconds. */
    long blockedFor(long now) {
        return blockedNanos - now;
    }

    void block(long nanos, long now) {
        blockedNanos = now + nanos;
    }

    /** Tells whether the dealer is to be asked: requests wait, or the permits run low while they are in use. */
    boolean low(long now) {
        if (asked != 0) {
            return false;
        }
        return !waiting.isEmpty() || ahead(now) > 1 && held < ahead(now) * LOW_SHARE;
    }

    /** Tells whether permits lapsed that the dealer is to get back. */
    boolean owes(long now) {
        lapse(now);
        return asked == 0 && unused > 0;
    }

    /** Tells whether nothing is kept here that matters. */
    boolean idle(long now) {
        lapse(now);
        count(now);
        return held == 0 && unused == 0 && asked == 0 && waiting.isEmpty() && perSecond < SMOOTHING;
    }

    /** Words what to ask the dealer for, and notes that it is asked. */
    Demand ask(long ticket, long now) {
        lapse(now);
        asked = ticket;
        askedNanos = now;
        int needed = waiting.size();
        Demand demand = new Demand(held, unused, needed, Math.max(needed, ahead(now) - held));
        unused = 0;
        return demand;
    }

    /** Tells whether a dealer's answer is awaited under a ticket. */
    boolean awaits(long ticket) {
        return asked == ticket;
    }

    /** Takes the timer that runs when the dealer has not answered in time. */
    void answerExpected(Subscription timer) {
        patience = timer;
    }

    /** Notes that no answer is awaited any more. */
    void answered() {
        asked = 0;
        patience.cancel();
    }

    /** Takes permits of the dealer; they lapse a fixed time after they were asked for. */
    void add(int granted, long now) {
        held += granted;
        lapseNanos = askedNanos + settings.leaseNanos();
        lapse(now);
    }

    /** Lets as many waiting requests go as there are permits. */
    List<TeamLimiter.AdmissionCallback> admitted() {
        List<TeamLimiter.AdmissionCallback> admitted = new ArrayList<>();
        while (held > 0 && !waiting.isEmpty()) {
            held--;
            admitted.add(waiting.poll());
        }
        return admitted;
    }

    /** Takes all waiting requests out. */
    List<TeamLimiter.AdmissionCallback> giveUp() {
        List<TeamLimiter.AdmissionCallback> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    boolean waits() {
        return !waiting.isEmpty();
    }

    private int ahead(long now) {
        count(now);
        return (int) Math.ceil(perSecond * settings.horizonNanos() / SECOND);
    }

    private void lapse(long now) {
        if (held > 0 && now - lapseNanos >= 0) {
            unused += held;
            held = 0;
        }
    }

    private void count(long now) {
        while (now - countedNanos >= COUNT_NANOS) {
            perSecond += SMOOTHING * (count * SECOND / COUNT_NANOS - perSecond);
            count = 0;
            countedNanos += COUNT_NANOS;
            if (now - countedNanos > 8 * COUNT_NANOS) {
                countedNanos = now;
                perSecond = 0;
            }
        }
    }
}
