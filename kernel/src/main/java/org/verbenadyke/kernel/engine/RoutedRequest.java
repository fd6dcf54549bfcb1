package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
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
 * @param id the request's id; empty if the engine is to create one, or if the request continues a call chain
 * @param surplus whether the request belongs to the surplus of its team, and is refused before others of its importance
 */
public record RoutedRequest(
        Route route,
        String service,
        Message.Content content,
        Importance importance,
        Optional<CallContext> parent,
        long ttlNanos,
        long waitedNanos,
        Optional<RequestId> id,
        boolean surplus) {
    /**
     * Creates a request that is no surplus, with an id of the engine's choice.
     *
     * @param route the route it matched
     * @param service the service chosen by the route's traffic split
     * @param content what is sent to the upstream
     * @param importance its importance
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
        this(route, service, content, importance, parent, ttlNanos, waitedNanos, Optional.empty(), false);
    }

    /**
     * Returns the request with an id and the decision whether it is surplus.
     *
     * @param requestId the id that the decision was made for
     * @param isSurplus whether the request belongs to the surplus of its team
     * @return the request
     */
    public RoutedRequest withSurplus(RequestId requestId, boolean isSurplus) {
        return new RoutedRequest(
                route, service, content, importance, parent, ttlNanos, waitedNanos, Optional.of(requestId), isSurplus);
    }
}
