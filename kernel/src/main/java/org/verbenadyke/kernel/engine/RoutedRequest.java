package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.serve.CallContext;
import org.verbenadyke.kernel.team.Team;

/**
 * A request that was matched to a route.
 *
 * @param route the route it matched
 * @param service the service chosen by the route's traffic split
 * @param content what is sent to the upstream
 * @param team the team of its caller, empty if it is not known
 * @param importance its importance according to the route plan, used if it begins a call chain
 * @param parent the call that the colocated upstream was serving when it sent the request; empty if the request begins
 *     a call chain
 * @param ttlNanos the caller's timeout, in nanoseconds
 * @param waitedNanos how long its caller has waited already, in nanoseconds; 0 unless it was refused and retries after
 *     its Retry-After delay
 * @param usageRequested whether the slot time of the request is to be learned even if the route plan does not need it;
 *     ignored if there is a parent, whose own call decides it
 */
public record RoutedRequest(
        Route route,
        String service,
        Message.Content content,
        Optional<Team> team,
        Importance importance,
        Optional<CallContext> parent,
        long ttlNanos,
        long waitedNanos,
        boolean usageRequested) {
    /**
     * Creates a request whose team is not known and whose slot time is learned only if the route plan needs it.
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
        this(route, service, content, Optional.empty(), importance, parent, ttlNanos, waitedNanos, false);
    }
}
