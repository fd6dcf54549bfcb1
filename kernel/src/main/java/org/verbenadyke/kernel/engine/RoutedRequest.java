package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.serve.CallContext;

/**
 * A request that was matched to a route.
 *
 * @param route the route it matched
 * @param service the service chosen by the route's traffic split
 * @param content what is sent to the upstream
 * @param importance its importance, used if it begins a call chain
 * @param parent the call that the colocated upstream was serving when it sent the request; empty if the request begins
 *     a call chain
 * @param ttlNanos the caller's timeout, in nanoseconds
 * @param waitedNanos how long its caller has waited already, in nanoseconds; 0 unless it was refused and retries after
 *     its Retry-After delay
 * @param usageRequested whether the slot time of the request is to be learned; ignored if there is a parent, whose own
 *     call decides it
 */
public record RoutedRequest(
        Route route,
        String service,
        Message.Content content,
        Importance importance,
        Optional<CallContext> parent,
        long ttlNanos,
        long waitedNanos,
        boolean usageRequested) {
    /**
     * Creates a request whose slot time is not learned.
     *
     * @param route the route it matched
     * @param service the service chosen by the route's traffic split
     * @param content what is sent to the upstream
     * @param importance its importance, used if it begins a call chain
     * @param parent the call that the colocated upstream was serving when it sent the request
     * @param ttlNanos the caller's timeout, in nanoseconds
     * @param waitedNanos how long its caller has waited already, in nanoseconds
     */
    public RoutedRequest(
            Route route,
            String service,
            Message.Content content,
            Importance importance,
            Optional<CallContext> parent,
            long ttlNanos,
            long waitedNanos) {
        this(route, service, content, importance, parent, ttlNanos, waitedNanos, false);
    }
}
