package org.verbenadyke.kernel.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Deals the requests of each route to the parts of its split. Answers the load pattern of few requests a second a
 * node: drawn at random, a tenth share would stray by several hundredths over some hundred requests; dealt along a
 * sequence that fills the interval evenly, it strays by one or two requests. Safe for many threads.
 */
public final class TrafficSplitter {
    /** The golden ratio's fraction in 32 bits; its multiples spread evenly over the interval at every length. */
    private static final int STEP = 0x9E3779B9;

    private static final int BITS = 32;
    private static final long MASK = (1L << BITS) - 1;

    private final Map<String, AtomicInteger> positions = new ConcurrentHashMap<>();
    private final int start;

    private TrafficSplitter(int start) {
        this.start = start;
    }

    /**
     * Creates a cursor.
     *
     * @param start where every route's sequence begins; nodes should begin at different places
     * @return the cursor
     */
    public static TrafficSplitter startingAt(int start) {
        return new TrafficSplitter(start);
    }

    /**
     * Chooses the service of the next request of a route.
     *
     * @param route the route
     * @return the service
     */
    public String nextService(Route route) {
        if (route.shares().size() == 1) {
            return route.shares().get(0).service();
        }
        int position = positions
                .computeIfAbsent(route.name(), n -> new AtomicInteger(start))
                .addAndGet(STEP);
        long total = route.shares().stream().mapToLong(ServiceShare::weight).sum();
        long point = (position & MASK) * total >>> BITS;
        for (ServiceShare s : route.shares()) {
            point -= s.weight();
            if (point < 0) {
                return s.service();
            }
        }
        throw new IllegalStateException("route " + route.name() + " has no weight");
    }
}
