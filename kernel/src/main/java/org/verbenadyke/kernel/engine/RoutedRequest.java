package org.verbenadyke.kernel.engine;

import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
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
 * @param id the request's id; empty if the engine is to create one, or if the request continues a call chain
 * @param surplus whether the request belongs to the surplus of its team, and is refused before others of its importance
 * @param orphaned whether the request is a call of a run that this node doesn't know, as after a restart; it counts as
 *     no request of a caller and gets no retries
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
        boolean usageRequested,
        Optional<RequestId> id,
        boolean surplus,
        boolean orphaned) {
    /**
     * Creates a request whose team is not known, that is no surplus, whose slot time is learned only if the route plan
     * needs it, and whose id the engine creates.
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
        this(
                route,
                service,
                content,
                Optional.empty(),
                importance,
                parent,
                ttlNanos,
                waitedNanos,
                false,
                Optional.empty(),
                false,
                false);
    }

    /**
     * Returns the request with the team of its caller.
     *
     * @param callerTeam the team, empty if it is not known
     * @return the request
     */
    public RoutedRequest withTeam(Optional<Team> callerTeam) {
        return new RoutedRequest(
                route,
                service,
                content,
                callerTeam,
                importance,
                parent,
                ttlNanos,
                waitedNanos,
                usageRequested,
                id,
                surplus,
                orphaned);
    }

    /**
     * Returns the request with the decision whether its slot time is to be learned in any case.
     *
     * @param requested whether it is
     * @return the request
     */
    public RoutedRequest withUsageRequested(boolean requested) {
        return new RoutedRequest(
                route,
                service,
                content,
                team,
                importance,
                parent,
                ttlNanos,
                waitedNanos,
                requested,
                id,
                surplus,
                orphaned);
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
                route,
                service,
                content,
                team,
                importance,
                parent,
                ttlNanos,
                waitedNanos,
                usageRequested,
                Optional.of(requestId),
                isSurplus,
                orphaned);
    }

    /**
     * Returns the request with the knowledge whether it is a call of a run that this node doesn't know.
     *
     * @param isOrphaned whether it is
     * @return the request
     */
    public RoutedRequest withOrphaned(boolean isOrphaned) {
        return new RoutedRequest(
                route,
                service,
                content,
                team,
                importance,
                parent,
                ttlNanos,
                waitedNanos,
                usageRequested,
                id,
                surplus,
                isOrphaned);
    }
}
