package org.verbenadyke.kernel.route;

import java.util.List;

/**
 * How the requests of one host and path prefix are handled.
 *
 * @param name the route's name
 * @param host the host it answers for, in lower case, without a port
 * @param prefix the path prefix, with a slash at both ends
 * @param shares the services that its requests are split among; one entry when there is no split
 * @param kind what may be repeated
 * @param timeoutNanos the longest time that a caller is kept waiting, in nanoseconds
 * @param targetNanos the latency up to which an answer is worth most, in nanoseconds
 * @param attempts how many upstreams one request may be sent to
 * @param priority its rank, 0 the most important
 * @param openToAll whether it serves callers that bring no key
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<ServiceShare> shares,
        RequestKind kind,
        long timeoutNanos,
        long targetNanos,
        int attempts,
        int priority,
        boolean openToAll) {
    /**
     * Creates a route.
     */
    public Route {
        shares = List.copyOf(shares);
    }
}
