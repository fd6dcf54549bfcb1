package org.verbenadyke.kernel.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.budget.RatioBudget;
import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.RunCosts;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Choice;
import org.verbenadyke.kernel.routing.RouteQuery;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Sends requests to upstreams through the nodes colocated with them and matches the answers. Thread-safe.
 */
public final class Dispatcher {
    /**
     * How long a call waits whose key has just moved to another owner, in nanoseconds: a few exchanges between nodes.
     */
    private static final long KEY_OWNER_CHANGE_PAUSE_NANOS = 50_000_000L;

    private final Parts parts;
    private final DispatchSettings settings;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<CallId, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<Pair, RatioBudget> retryRatios = new ConcurrentHashMap<>();
    private final CallerRetryPolicy callerRetries;
    private final RunCosts runCosts = RunCosts.empty();
    private final StopSchedule stop;

    private Dispatcher(Parts parts, DispatchSettings settings) {
        this.stop = StopSchedule.none(parts.timers);
        this.parts = parts;
        this.settings = settings;
        this.callerRetries = CallerRetryPolicy.with(parts.random);
    }

    /**
     * Creates a dispatcher.
     *
     * @param parts the collaborators
     * @param settings the retry settings
     * @return the dispatcher
     */
    public static Dispatcher create(Parts parts, DispatchSettings settings) {
        return new Dispatcher(parts, settings);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param sink receives the answer
     * @return the handle that controls the request
     */
    public CallHandle dispatch(Request request, AnswerSink sink) {
        Dispatch dispatch = new Dispatch(this, stop.limited(request), sink);
        dispatch.start();
        return dispatch;
    }

    /**
     * Called when the node begins to stop as planned. Requests whose answers could come too late are refused from now
     * on as not run.
     *
     * @param endNanos when the process exits, on the local clock
     */
    public void stopBy(long endNanos) {
        stop.begin(endNanos);
    }

    /**
     * Handles a message that belongs to an attempt.
     *
     * @param link the link on which the message arrived
     * @param message a head, data, end, refusal or request for retry budget
     */
    public void received(Link link, Message message) {
        Optional<CallId> id = idOf(message);
        Attempt attempt = id.map(attempts::get).orElse(null);
        if (attempt == null) {
            parts.counters.count(Event.MESSAGE_UNMATCHED);
            return;
        }
        attempt.dispatch().received(attempt, link, message);
    }

    /**
     * Called when a link has closed.
     *
     * @param link the link
     */
    public void linkLost(Link link) {
        for (Attempt attempt : attempts.values()) {
            if (attempt.link() == link) {
                attempt.dispatch().linkLost(attempt, link);
            }
        }
    }

    /**
     * Returns the attempts in flight.
     *
     * @return the number of attempts
     */
    public int inFlight() {
        return attempts.size();
    }

    Parts parts() {
        return parts;
    }

    DispatchSettings settings() {
        return settings;
    }

    Attempt open(Dispatch dispatch, Candidate candidate) {
        CallId id = new CallId(parts.incarnation, sequence.incrementAndGet());
        Attempt attempt = new Attempt(id, dispatch, candidate, parts.timers.nanos());
        attempts.put(id, attempt);
        candidate.sent();
        return attempt;
    }

    void close(Attempt attempt) {
        if (attempts.remove(attempt.id()) != null) {
            attempt.candidate().recordCallEnd();
            attempt.unbind();
        }
    }

    /**
     * Returns the rank that a request is routed by; a call inside a chain gets a rank above every admission level if
     * the settings exempt such calls. The surplus of a team is not prioritized when its caller retries: otherwise the
     * retries of a surge would displace new requests of other teams.
     */
    int rank(Request request) {
        boolean exempt = settings.nestedCallsExempt() && request.depth() > 0;
        if (exempt) {
            return Importance.RANKS;
        }
        if (request.surplus()) {
            return request.importance().surplusRank(request.id());
        }
        return request.importance().rank(request.id(), callerRetries.prioritized(request, parts.timers.nanos()));
    }

    /** Returns what another run of a request takes. */
    RunCosts runCosts() {
        return runCosts;
    }

    void recordSuccess(Request request, Attempt attempt, CallCounts calls, long now) {
        long elapsed = now - attempt.startNanos();
        attempt.candidate().succeeded(elapsed);
        retryRatio(request).succeeded();
        callerRetries.recordAnswer(request, elapsed);
        if (settings.allowanceCharged()) {
            runCosts.record(request.service(), request.pathClass(), calls, elapsed, now);
        }
    }

    /**
     * Returns the upstreams that a request must not be sent to: those already tried, or, for a quarantined request on
     * trial, all but the one that runs the trial.
     */
    Set<String> excludedUpstreams(Request request, Set<String> tried) {
        Optional<String> trialUpstream = parts.quarantine.trialUpstream(request.content(), request.service());
        if (trialUpstream.isEmpty()) {
            return tried;
        }
        return parts.router.candidates().stream()
                .map(c -> c.upstream().id())
                .filter(id -> !id.equals(trialUpstream.get()))
                .collect(Collectors.toSet());
    }

    /** Returns whether a request may be sent, or sent again, although the node may be stopping. */
    boolean mayBeSent(Request request) {
        return stop.mayBeSent(request);
    }

    Choice route(Request request, String pathClass, Set<String> tried) {
        if (!mayBeSent(request)) {
            return new Choice.TooLate();
        }
        long now = parts.timers.nanos();
        return parts.router.route(query(request, pathClass, tried, now), now);
    }

    /**
     * Returns the upstream that a retry is bound to, empty if it is routed as any other attempt. A call whose
     * connection between nodes was lost goes to the same upstream again.
     */
    Optional<Candidate> retryTarget(Request request, Attempt last, RetryReason reason, Set<String> tried) {
        if (reason != RetryReason.CONNECTION_LOST) {
            return Optional.empty();
        }
        Candidate same = last.candidate();
        return Optional.of(last)
                .filter(a -> settings.brokenRetriedElsewhere() && a.lostByUpstream())
                .flatMap(a -> otherUpstream(request, same, tried))
                .or(() -> Optional.of(same).filter(Candidate::accepting));
    }

    private Optional<Candidate> otherUpstream(Request request, Candidate same, Set<String> tried) {
        long now = parts.timers.nanos();
        String pathClass = request.pathClass();
        return parts.router
                .routeElsewhere(query(request, pathClass, tried, now), now)
                .or(() -> parts.router.routeElsewhere(
                        query(request, pathClass, Set.of(same.upstream().id()), now), now));
    }

    private RouteQuery query(Request request, String pathClass, Set<String> tried, long now) {
        return new RouteQuery(
                request.service(),
                pathClass,
                rank(request),
                request.idempotent() ? "" : request.key(),
                excludedUpstreams(request, tried),
                request.dueNanos() - now);
    }

    /** Returns whether a request may be sent to an upstream that it was not sent to before. */
    boolean hasUntriedUpstream(Request request, Set<String> tried) {
        boolean boundToOwner = !request.idempotent() && !request.key().isEmpty();
        return !boundToOwner && parts.router.hasOther(request.service(), tried);
    }

    Refusal withRetryAfter(Request request, Refusal refusal) {
        return callerRetries.withRetryAfter(request, refusal, parts.timers.nanos());
    }

    long retryAfterMillis() {
        return RetryAfter.spread(settings.retryAfterMillis(), parts.random.get());
    }

    void afterKeyOwnerChange(SerialExecutor serial, Runnable step) {
        parts.timers.after(KEY_OWNER_CHANGE_PAUSE_NANOS, () -> serial.run(step));
    }

    void recordRetry(Request request, Attempt attempt, RetryReason reason, boolean granted) {
        String upstream = attempt.candidate().upstream().id();
        parts.decisions.note(new Decision.Retried(request.id(), request.service(), upstream, reason, granted));
    }

    void recordReroute(Request request, Attempt attempt, RefusalReason reason) {
        String upstream = attempt.candidate().upstream().id();
        parts.decisions.note(new Decision.Rerouted(request.id(), request.service(), upstream, reason));
    }

    RatioBudget retryRatio(Request request) {
        return retryRatios.computeIfAbsent(
                new Pair(request.caller(), request.service()),
                p -> RatioBudget.of(settings.retryRatio(), settings.maxSavedRetries()));
    }

    private static Optional<CallId> idOf(Message message) {
        return switch (message) {
            case Message.Head m -> Optional.of(m.id());
            case Message.Data m -> Optional.of(m.id());
            case Message.End m -> Optional.of(m.id());
            case Message.Refused m -> Optional.of(m.id());
            case Message.Spend m -> Optional.of(m.id());
            default -> Optional.empty();
        };
    }

    /**
     * The collaborators of a dispatcher.
     *
     * @param incarnation identifies this start of the process; drawn at random at each start
     * @param timers the clock and timers
     * @param router chooses upstreams
     * @param links opens links to other nodes
     * @param random supplies the random generator of the current thread
     * @param counters counts refusals and retries
     * @param ledger checks the guarantees, such as at most one run
     * @param decisions records decisions for later explanation
     * @param quarantine quarantines requests that crash upstreams
     */
    public record Parts(
            long incarnation,
            TimerService timers,
            Router router,
            Links links,
            Supplier<RandomGenerator> random,
            Counters counters,
            Ledger ledger,
            DecisionLog decisions,
            Quarantine quarantine) {}

    /**
     * A calling service and a called service.
     *
     * @param caller the calling service
     * @param service the called service
     */
    private record Pair(String caller, String service) {
        // Written out: the record's own methods are generated at their first use, which slows the start of a process.
        @Override
        public boolean equals(Object other) {
            return other instanceof Pair o && caller.equals(o.caller) && service.equals(o.service);
        }

        @Override
        public int hashCode() {
            return 31 * caller.hashCode() + service.hashCode();
        }
    }
}
