package org.verbenadyke.kernel.cost;

import java.util.List;

/**
 * The slot time that one call took at each service of its chain, including the calls that were made for it.
 *
 * @param slotTimes the services with the most slot time, in descending order of it; empty if nothing is known
 */
public record Usage(List<SlotTime> slotTimes) {
    /** The maximum number of services; bounds the size of an answer. */
    public static final int MAX_SERVICES = 4;

    /** Nothing is known. */
    public static final Usage NONE = new Usage(List.of());

    /**
     * Creates a usage.
     *
     * @param slotTimes the services with the most slot time
     * @throws IllegalArgumentException if there are more than {@link #MAX_SERVICES}
     */
    public Usage {
        if (slotTimes.size() > MAX_SERVICES) {
            throw new IllegalArgumentException(slotTimes.size() + " services in a usage");
        }
        slotTimes = List.copyOf(slotTimes);
    }

    /**
     * Returns the usage of a call that took slot time at one service only.
     *
     * @param service the service
     * @param micros the slot time, in microseconds
     * @return the usage
     */
    public static Usage of(String service, long micros) {
        return new Usage(List.of(new SlotTime(service, micros)));
    }

    /**
     * Returns whether nothing is known.
     *
     * @return whether no service is listed
     */
    public boolean isEmpty() {
        return slotTimes.isEmpty();
    }

    /**
     * The slot time at one service.
     *
     * @param service the service
     * @param micros the time for which slots of the service were held, in microseconds
     */
    public record SlotTime(String service, long micros) {
        /**
         * Creates a slot time.
         *
         * @param service the service
         * @param micros the time, in microseconds
         * @throws IllegalArgumentException if the time is negative
         */
        public SlotTime {
            if (micros < 0) {
                throw new IllegalArgumentException("slot time of " + micros + " us");
            }
        }
    }
}
