package org.verbenadyke.kernel.route;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Distinguishes retries of returning callers, which were refused and retry after the Retry-After delay, from first
 * requests. It compares remaining timeouts: a caller starts with the same timeout for each request of a route, and has
 * less of it left when it returns. A caller that retries immediately has nearly all of it left, and counts as new.
 * Thread-safe.
 */
public final class ReturningCallers {
    /** Share of a route's longest timeout below which a request counts as a retry. */
    private static final double RETRY_SHARE = 0.96;

    private final Map<String, Long> longest = new ConcurrentHashMap<>();

    private ReturningCallers() {}

    /**
     * Creates an instance that has seen no requests.
     *
     * @return the instance
     */
    public static ReturningCallers create() {
        return new ReturningCallers();
    }

    /**
     * Records a request and returns how long its caller has been waiting.
     *
     * @param route the name of its route
     * @param timeoutMillis the caller's remaining timeout, in milliseconds
     * @return the time since the caller's first request, in milliseconds; 0 if this is the first request
     */
    public long waitedMillis(String route, long timeoutMillis) {
        long longestMillis = longest.merge(route, timeoutMillis, Math::max);
        return timeoutMillis < longestMillis * RETRY_SHARE ? longestMillis - timeoutMillis : 0;
    }
}
