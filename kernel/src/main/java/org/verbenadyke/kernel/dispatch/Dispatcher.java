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
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Sends requests to upstreams through the nodes beside them and matches the answers. Safe for many threads.
 */
public final class Dispatcher {
    /** How long a call waits whose key has just changed its owner, in nanoseconds: some rounds between nodes. */
    private static final long PAUSE_NANOS = 50_000_000L;

    private final Parts parts;
    private final DispatchSettings settings;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<CallId, Attempt> attempts = new ConcurrentHashMap<>();
    private final Map<Pair, RatioBudget> ratios = new ConcurrentHashMap<>();
    private final CallerReturns returns;

    private Dispatcher(Parts parts, DispatchSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.returns = CallerReturns.with(parts.random);
    }

    /**
     * Creates a dispatcher.
     *
     * @param parts what it works with
     * @param settings how it retries
     * @return the dispatcher
     */
    public static Dispatcher create(Parts parts, DispatchSettings settings) {
        return new Dispatcher(parts, settings);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param sink takes its answer
     * @return the handle to steer it by
     */
    public CallHandle dispatch(Request request, AnswerSink sink) {
        Dispatch dispatch = new Dispatch(this, request, sink);
        dispatch.start();
        return dispatch;
    }

    /**
     * Takes a message that belongs to an attempt.
     *
     * @param link the link it came by
     * @param message a head, data, end, refusal or question for budget
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
     * Takes notice that a link has ended.
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
     * Returns the attempts under way.
     *
     * @return their number
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
            attempt.candidate().ended();
            attempt.unbind();
        }
    }

    /** The rank that a request is routed by; a call inside a chain passes every level if the settings say so. */
    int rank(Request request) {
        boolean exempt = settings.nestedCallsExempt() && request.depth() > 0;
        if (exempt) {
            return Importance.RANKS;
        }
        return request.importance().rank(request.id(), returns.favoured(request, parts.timers.nanos()));
    }

    CallerReturns returns() {
        return returns;
    }

    /** Lists the upstreams that a request shall not go to: where it was tried, or all but the one that may try it. */
    Set<String> avoided(Request request, Set<String> tried) {
        Optional<String> trial = parts.quarantine.trialUpstream(request.content(), request.service());
        if (trial.isEmpty()) {
            return tried;
        }
        return parts.router.candidates().stream()
                .map(c -> c.upstream().id())
                .filter(id -> !id.equals(trial.get()))
                .collect(Collectors.toSet());
    }

    long retryAfterMillis() {
        return RetryAfter.spread(settings.retryAfterMillis(), parts.random.get());
    }

    void afterPause(SerialExecutor serial, Runnable step) {
        parts.timers.after(PAUSE_NANOS, () -> serial.run(step));
    }

    void noteRetry(Request request, Attempt attempt, RetryReason reason, boolean granted) {
        String upstream = attempt.candidate().upstream().id();
        parts.decisions.note(new Decision.Retried(request.id(), request.service(), upstream, reason, granted));
    }

    void noteReroute(Request request, Attempt attempt, RefusalReason reason) {
        String upstream = attempt.candidate().upstream().id();
        parts.decisions.note(new Decision.Rerouted(request.id(), request.service(), upstream, reason));
    }

    RatioBudget ratio(Request request) {
        return ratios.computeIfAbsent(
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
     * What a dispatcher works with.
     *
     * @param incarnation drawn anew at each start of the process
     * @param timers the time
     * @param router chooses upstreams
     * @param links where links come from
     * @param random where each thread's randomness comes from
     * @param counters where refusals and retries are counted
     * @param ledger checks the promises
     * @param decisions takes what is to be explained later
     * @param quarantine holds requests back under which upstreams end
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
     * A calling and a called service.
     *
     * @param caller the calling service
     * @param service the called one
     */
    private record Pair(String caller, String service) {
        // Written out: derived ones are generated at their first use, which costs a process that starts much time.
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
