package org.verbenadyke.kernel.serve;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.body.BodyReservation;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.dispatch.RetryAfter;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.once.SeenCalls;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Serves the calls of other nodes for the colocated upstream. Thread-safe.
 */
public final class CallServer {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The shortest Retry-After delay of a call over a rate limit: a new demand shows in the reports by then. */
    private static final long MIN_LIMITED_RETRY_MILLIS = 100;

    private final Parts parts;
    private final ServeSettings settings;
    private final SeenCalls seenCalls;
    private final NoticeHandler notices;
    private final AnswerMemory answerMemory;
    private final CrashRecorder crashes;
    private final AttachedUpstream attached;
    private final SuspectQueue suspectQueue = SuspectQueue.empty();
    private final Map<CallId, IncomingCall> calls = new ConcurrentHashMap<>();
    private final Map<String, CallContext> contexts = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();

    private CallServer(Parts parts, ServeSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.notices = new NoticeHandler(parts.counters, parts.decisions);
        this.answerMemory = AnswerMemory.of(settings.storedAnswersBytes());
        this.crashes = CrashRecorder.create(parts.timers, parts.quarantine, parts.decisions);
        this.attached = AttachedUpstream.none(crashes);
        this.seenCalls = SeenCalls.startingAt(parts.timers.nanos());
    }

    /**
     * Creates a server without an upstream.
     *
     * @param parts the collaborators
     * @param settings the settings for served calls
     * @return the server
     */
    public static CallServer create(Parts parts, ServeSettings settings) {
        return new CallServer(parts, settings);
    }

    /**
     * Attaches the upstream that announced itself.
     *
     * @param local the upstream
     */
    public void attach(LocalUpstream local) {
        attached.attach(local);
    }

    /** Detaches the upstream, of which nothing was heard for too long. Calls that wait for it are refused. */
    public void detach() {
        attached.detach();
    }

    /**
     * Returns the colocated upstream.
     *
     * @return the upstream, if one announced itself
     */
    public Optional<LocalUpstream> upstream() {
        return attached.get();
    }

    /**
     * Returns what attaches and detaches the colocated upstream.
     *
     * @return the attached upstream
     */
    public AttachedUpstream attached() {
        return attached;
    }

    /**
     * Returns the context that a token identifies.
     *
     * @param token the token that an upstream copied to its call
     * @return the context, empty when its call has ended
     */
    public Optional<CallContext> context(String token) {
        return Optional.ofNullable(contexts.get(token));
    }

    /**
     * Handles a message of a calling node.
     *
     * @param link the link on which the message arrived
     * @param message a call, credit, cancellation, grant or inquiry
     */
    public void received(Link link, Message message) {
        switch (message) {
            case Message.Call m -> call(link, m);
            case Message.Credit m -> find(m.id()).ifPresent(c -> c.credit(m.bytes()));
            case Message.Cancel m -> find(m.id()).ifPresent(IncomingCall::cancelled);
            case Message.Grant m -> find(m.id()).ifPresent(c -> c.retryDecided(m.ticket(), m.decision()));
            case Message.Inquire m -> inquire(link, m);
            default -> parts.counters.count(Event.MESSAGE_UNMATCHED);
        }
    }

    /**
     * Called when a link has closed.
     *
     * @param link the link
     */
    public void linkLost(Link link) {
        for (IncomingCall call : calls.values()) {
            if (call.link() == link) {
                call.linkLost(link);
            }
        }
    }

    /**
     * Returns the number of unfinished calls.
     *
     * @return the number
     */
    public long unfinished() {
        return calls.values().stream().filter(c -> !c.finished()).count();
    }

    /**
     * Evicts expired state. Called by one thread at a time, at intervals of {@link #sweepNanos}.
     */
    public void sweep() {
        seenCalls.rotate(parts.timers::nanos);
        long now = parts.timers.nanos();
        calls.values().stream().filter(c -> c.evictable(now)).forEach(this::forget);
        upstream().ifPresent(u -> u.keys().expire(now));
    }

    /**
     * Returns the minimum interval between two sweeps. A shorter one could evict an id while a delayed copy of its call
     * still passes the freshness check.
     *
     * @return the interval in nanoseconds
     */
    public long sweepNanos() {
        return settings.maxTtlNanos() + settings.fenceGraceNanos();
    }

    Parts parts() {
        return parts;
    }

    /** Returns the memory for the answers that are stored to be sent again. */
    AnswerMemory answerMemory() {
        return answerMemory;
    }

    ServeSettings settings() {
        return settings;
    }

    void received(LocalUpstream local, UpstreamNotice notice, long handedOverNanos) {
        notices.handle(local, notice, handedOverNanos);
    }

    CallContext openContext(Message.Call call, CallTimes times, Supplier<Link> link) {
        String token = Long.toHexString(parts.random.get().nextLong()) + "-" + tokens.incrementAndGet();
        CallContext context = CallContext.of(token, call, times, link);
        contexts.put(token, context);
        return context;
    }

    void closeContext(CallContext context) {
        contexts.remove(context.token());
        context.budget().close();
    }

    void forget(IncomingCall call) {
        calls.remove(call.id(), call);
        call.discardAnswer();
    }

    void refuse(Link link, Message.Call call, Refusal refusal, Optional<CallContext> context) {
        Message.Report report = report(context);
        if (refusal.reason() == RefusalReason.UPSTREAM_LIMITED) {
            upstream().ifPresent(u -> notices.noteOverLimit(u, call, refusal));
        } else {
            parts.decisions.note(new Decision.CallRefused(
                    call.request(),
                    call.target().upstream(),
                    refusal.state(),
                    refusal.reason(),
                    report.inFlight(),
                    report.limit(),
                    report.pathLevel()));
        }
        refuse(link, call.id(), refusal, report);
    }

    private void refuse(Link link, CallId id, Refusal refusal, Message.Report report) {
        parts.ledger.refusedCall(id, refusal.state());
        parts.counters.refused(refusal.state(), refusal.reason());
        link.send(new Message.Refused(id, refusal, report));
    }

    Refusal notRun(RefusalReason reason) {
        long after = RetryAfter.spread(settings.retryAfterMillis(), parts.random.get());
        return Refusal.notRun(reason, after);
    }

    /** Returns the refusal of a call that the gate of an upstream shed. */
    Refusal notRun(RefusalReason reason, LocalUpstream local) {
        if (reason != RefusalReason.UPSTREAM_LIMITED) {
            return notRun(reason);
        }
        double millisPerCall = MILLIS_PER_SECOND / local.gate().maxCallsPerSecond();
        long after = RetryAfter.spread(Math.max(MIN_LIMITED_RETRY_MILLIS, (long) millisPerCall), parts.random.get());
        return Refusal.notRun(reason, after);
    }

    Message.Report report(Optional<CallContext> context) {
        Message.DeeperLevel deeperLevel = context.map(
                        c -> parts.levels.strictestLevel(c.services(), parts.timers.nanos()))
                .orElse(Message.DeeperLevel.NONE);
        Usage usage = context.map(CallContext::usage).orElse(Usage.NONE);
        CallCounts calls = context.map(CallContext::calls).orElse(CallCounts.NONE);
        LocalUpstream local = attached.getOrNull();
        if (local == null) {
            return new Message.Report(0, 0, 0, 0, false, Message.Stated.NOTHING, deeperLevel, usage, calls);
        }
        Gate gate = local.gate();
        return new Message.Report(
                gate.inFlight() + gate.queued(),
                gate.limit(),
                gate.level(),
                gate.directLevel(),
                local.draining(),
                local.stated(),
                deeperLevel,
                usage,
                calls);
    }

    UpstreamPort.HandOver handOver(Message.Call call, CallContext context, long remainingNanos) {
        return new UpstreamPort.HandOver(
                call.content(), context.token(), call.request(), call.importance(), remainingNanos);
    }

    void recordHandOver(Message.Call call, LocalUpstream local, long receivedNanos) {
        parts.counters.handedOver(call.repetition());
        local.notices().rate().recordHandOver();
        parts.ledger.handedOver(call.id(), call.key(), call.idempotent());
        if (local.drainingBefore(receivedNanos)) {
            parts.ledger.handedWhileDraining(call.id());
        }
    }

    /** Returns what records the calls that ended without an answer. */
    CrashRecorder crashes() {
        return crashes;
    }

    /** Returns the queue in which calls that may have crashed upstreams run one at a time. */
    SuspectQueue suspectQueue() {
        return suspectQueue;
    }

    private Optional<IncomingCall> find(CallId id) {
        Optional<IncomingCall> call = Optional.ofNullable(calls.get(id));
        if (call.isEmpty()) {
            parts.counters.count(Event.MESSAGE_UNMATCHED);
        }
        return call;
    }

    private void call(Link link, Message.Call call) {
        parts.counters.count(Event.CALL_IN);
        if (!seenCalls.claim(call.id())) {
            parts.counters.count(Event.CALL_REPEATED);
            return;
        }
        LocalUpstream local = attached.getOrNull();
        if (local == null || !local.id().equals(call.target().upstream())) {
            refuseUntracked(link, call, RefusalReason.UPSTREAM_UNREACHABLE);
            return;
        }
        notices.recall(local, call.known());
        if (local.draining()) {
            refuseUntracked(link, call, RefusalReason.DRAINING);
            return;
        }
        if (Freshness.isStale(call, parts.timers.nanos(), settings.fenceGraceNanos())) {
            refuseUntracked(link, call, RefusalReason.FENCED);
            return;
        }
        Optional<BodyReservation> memory =
                parts.bodies.reserveCall(call.content().body().length);
        if (memory.isEmpty()) {
            refuseUntracked(link, call, RefusalReason.BODY_MEMORY);
            return;
        }
        IncomingCall incoming = new IncomingCall(this, local, call, link, memory.get());
        calls.put(call.id(), incoming);
        incoming.start();
    }

    /** Refuses a call and retains only that it never ran. */
    private void refuseUntracked(Link link, Message.Call call, RefusalReason reason) {
        seenCalls.markNeverRuns(call.id());
        refuse(link, call, notRun(reason), Optional.empty());
    }

    private void inquire(Link link, Message.Inquire inquiry) {
        CallId id = inquiry.id();
        IncomingCall call = calls.get(id);
        if (call != null) {
            call.rebind(link);
            return;
        }
        Refusal refusal = sealIfNeverRun(inquiry)
                ? notRun(RefusalReason.SEALED)
                : Refusal.mayHaveRun(RefusalReason.CONNECTION_LOST);
        parts.decisions.note(new Decision.StatusReported(id, refusal.state(), refusal.reason(), parts.incarnation));
        refuse(link, id, refusal, report(Optional.empty()));
    }

    /**
     * Returns whether an attempt was refused or never arrived, and ensures that it never runs. An unknown id proves
     * that the attempt never arrived only in the process that the attempt was sent to, and only while that process
     * retains ids of that age. A restarted process would otherwise seal an attempt that the previous process ran, and
     * so cause a second run.
     */
    private boolean sealIfNeverRun(Message.Inquire inquiry) {
        CallId id = inquiry.id();
        if (inquiry.targetIncarnation() != parts.incarnation) {
            return false;
        }
        if (seenCalls.isNeverRun(id)) {
            return true;
        }
        boolean neverArrived = seenCalls.claim(id) && seenCalls.coversSince(inquiry.targetClock());
        if (neverArrived) {
            seenCalls.markNeverRuns(id);
        }
        return neverArrived;
    }

    /**
     * The collaborators of a call server.
     *
     * @param incarnation identifies this start of the process; drawn at random at each start
     * @param timers the clock and timers
     * @param random supplies the random generator of the current thread
     * @param counters counts refusals
     * @param ledger checks the guarantees, such as at most one run
     * @param levels the known admission levels of the services deeper in the call chain
     * @param keys claims keys, after querying their former owners
     * @param decisions records decisions for later explanation
     * @param quarantine quarantines requests that crash upstreams
     * @param bodies limits the memory for the bodies of calls
     */
    public record Parts(
            long incarnation,
            TimerService timers,
            Supplier<RandomGenerator> random,
            Counters counters,
            Ledger ledger,
            ServiceLevels levels,
            KeyClaims keys,
            DecisionLog decisions,
            Quarantine quarantine,
            BodyMemory bodies) {}
}
