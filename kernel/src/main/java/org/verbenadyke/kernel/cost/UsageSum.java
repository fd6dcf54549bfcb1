package org.verbenadyke.kernel.cost;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Adds up the slot time that the attempts and nested calls of one call took at each service. Thread-safe, since nested
 * calls may be answered at the same time.
 */
public final class UsageSum {
    /**
     * The maximum number of services; those with the least slot time are dropped. More than a usage lists, so that
     * many small amounts at one service can outweigh a single larger one at another.
     */
    static final int MAX_SERVICES = 16;

    private static final Comparator<Usage.SlotTime> MOST_FIRST =
            Comparator.comparingLong(Usage.SlotTime::micros).reversed().thenComparing(Usage.SlotTime::service);

    /** The first usage that was added, until a second one is: most requests have one attempt. */
    private Usage first = Usage.NONE;

    /** The sums by service; empty until a second usage is added. */
    private Map<String, Long> micros = Map.of();

    private UsageSum() {}

    /**
     * Creates a sum without any slot time.
     *
     * @return the sum
     */
    public static UsageSum empty() {
        return new UsageSum();
    }

    /**
     * Adds the usage of one attempt.
     *
     * @param usage the usage
     */
    public synchronized void add(Usage usage) {
        if (usage.isEmpty()) {
            return;
        }
        if (micros.isEmpty() && first.isEmpty()) {
            first = usage;
            return;
        }
        if (micros.isEmpty()) {
            micros = snapshot();
        }
        addTo(micros, usage);
        while (micros.size() > MAX_SERVICES) {
            micros.entrySet().stream()
                    .min(Comparator.comparingLong(Map.Entry::getValue))
                    .ifPresent(least -> micros.remove(least.getKey()));
        }
    }

    /**
     * Returns the usage of all that was added so far.
     *
     * @return the services with the most slot time
     */
    public synchronized Usage total() {
        return micros.isEmpty() ? first : top(micros);
    }

    /**
     * Returns the usage of all that was added so far and of one more call. The sum itself stays as it is.
     *
     * @param service the service of the call
     * @param ownMicros the slot time of the call, in microseconds
     * @return the services with the most slot time
     */
    public Usage totalWith(String service, long ownMicros) {
        Map<String, Long> all = snapshot();
        all.merge(service, ownMicros, UsageSum::saturatedSum);
        return top(all);
    }

    private synchronized Map<String, Long> snapshot() {
        Map<String, Long> all = new HashMap<>(micros);
        if (micros.isEmpty()) {
            addTo(all, first);
        }
        return all;
    }

    private static void addTo(Map<String, Long> sums, Usage usage) {
        for (Usage.SlotTime used : usage.slotTimes()) {
            sums.merge(used.service(), used.micros(), UsageSum::saturatedSum);
        }
    }

    private static Usage top(Map<String, Long> all) {
        List<Usage.SlotTime> most = all.entrySet().stream()
                .map(e -> new Usage.SlotTime(e.getKey(), e.getValue()))
                .sorted(MOST_FIRST)
                .limit(Usage.MAX_SERVICES)
                .toList();
        return new Usage(most);
    }

    private static long saturatedSum(long a, long b) {
        return b > Long.MAX_VALUE - a ? Long.MAX_VALUE : a + b;
    }
}
