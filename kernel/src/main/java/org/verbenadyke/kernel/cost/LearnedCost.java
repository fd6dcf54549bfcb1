package org.verbenadyke.kernel.cost;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import org.verbenadyke.kernel.call.Importance;

/**
 * The cost of one kind of request at each service of its chain, and the rates at which its requests are answered.
 * Thread-safe.
 */
final class LearnedCost implements KindTable.Aged {
    /** The maximum number of services of a kind; those with the least slot time are dropped. */
    static final int MAX_SERVICES = 8;

    /** The number of answers from which on the cost is known; fewer say little about a request of varying cost. */
    static final int MIN_ANSWERS = 8;

    /** The age of the last answer above which the cost is no longer known, in nanoseconds. */
    static final long MAX_AGE_NANOS = 30_000_000_000L;

    /**
     * The age of the last answer up to which a known cost is fresh, in nanoseconds. A quarter of the age at which it is
     * lost, so that the cost of a rare kind is learned anew from all its requests well before.
     */
    static final long FRESH_NANOS = MAX_AGE_NANOS / 4;

    /** The weight of one answer. The first ten weigh the same, since a mean of one answer says little. */
    private static final double ANSWER_WEIGHT = 0.1;

    /** The slot time below which a service counts as no longer used: the resolution of a usage, in nanoseconds. */
    private static final double MIN_SLOT_NANOS = 1_000;

    private static final double NANOS_PER_MICRO = 1_000;

    private final Map<String, Double> slotNanos = new HashMap<>();
    private final AnswerRate[] rates = new AnswerRate[2 * Importance.values().length];
    private long answers;
    private long lastNanos;

    private LearnedCost(long nowNanos) {
        this.lastNanos = nowNanos;
    }

    static LearnedCost startedAt(long nowNanos) {
        return new LearnedCost(nowNanos);
    }

    synchronized void record(Importance importance, boolean repeatable, Usage usage, long nowNanos) {
        answers++;
        double weight = Math.max(ANSWER_WEIGHT, 1.0 / answers);
        slotNanos.replaceAll((service, nanos) -> nanos * (1 - weight));
        for (Usage.SlotTime used : usage.slotTimes()) {
            slotNanos.merge(used.service(), weight * used.micros() * NANOS_PER_MICRO, Double::sum);
        }
        slotNanos.values().removeIf(nanos -> nanos < MIN_SLOT_NANOS);
        while (slotNanos.size() > MAX_SERVICES) {
            dropSmallest();
        }
        int index = index(importance, repeatable);
        rates[index] = AnswerRate.after(rates[index], nowNanos);
        lastNanos = nowNanos;
    }

    synchronized boolean known(long nowNanos) {
        return answers >= MIN_ANSWERS && nowNanos - lastNanos <= MAX_AGE_NANOS;
    }

    synchronized boolean fresh(long nowNanos) {
        return known(nowNanos) && nowNanos - lastNanos <= FRESH_NANOS;
    }

    synchronized double slotNanos(String service) {
        return slotNanos.getOrDefault(service, 0.0);
    }

    synchronized double requestsPerSecond(Importance importance, boolean repeatable, long nowNanos) {
        AnswerRate rate = rates[index(importance, repeatable)];
        return rate == null || nowNanos - rate.lastNanos() > MAX_AGE_NANOS ? 0 : rate.perSecond(nowNanos);
    }

    @Override
    public synchronized long lastNanos() {
        return lastNanos;
    }

    private void dropSmallest() {
        slotNanos.entrySet().stream()
                .min(Comparator.comparingDouble(Map.Entry::getValue))
                .ifPresent(smallest -> slotNanos.remove(smallest.getKey()));
    }

    private static int index(Importance importance, boolean repeatable) {
        return 2 * importance.ordinal() + (repeatable ? 1 : 0);
    }
}
