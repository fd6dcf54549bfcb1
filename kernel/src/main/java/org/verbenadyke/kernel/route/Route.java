package org.verbenadyke.kernel.route;

import java.util.List;

/**
 * Describes how the requests of one host and path prefix are handled.
 *
 * @param name the route's name
 * @param host the host name it matches, in lower case, without a port
 * @param prefix the path prefix, with a slash at both ends
 * @param shares the services that its requests are split among; one entry when there is no split
 * @param kind whether its requests may be retried
 * @param timeoutNanos the maximum time until a caller gets an answer, in nanoseconds
 * @param targetNanos the target latency, up to which an answer has its full value, in nanoseconds
 * @param attempts the maximum number of upstreams one request is sent to
 * @param priority its priority, 0 being the most important
 * @param openToAll whether it serves callers without an API key
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
