package org.verbenadyke.kernel.serve;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.dispatch.RetryAfter;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.once.SeenCalls;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Serves the calls of other nodes for the upstream beside this one. Safe for many threads.
 */
public final class CallServer {
    private final Parts parts;
    private final ServeSettings settings;
    private final SeenCalls seen;
    private final SuspectLane lane = SuspectLane.free();
    private final Map<CallId, IncomingCall> calls = new ConcurrentHashMap<>();
    private final Map<String, CallContext> contexts = new ConcurrentHashMap<>();
    private final AtomicLong tokens = new AtomicLong();
    private volatile LocalUpstream upstream;

    private CallServer(Parts parts, ServeSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.seen = SeenCalls.startingAt(parts.timers.nanos());
    }

    /**
     * Creates a server without an upstream.
     *
     * @param parts what it works with
     * @param settings how calls are served
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
        this.upstream = local;
    }

    /** Forgets the upstream: it is gone, and no other has announced itself yet. */
    public void detach() {
        this.upstream = null;
    }

    /**
     * Returns the upstream beside this node.
     *
     * @return the upstream, if one announced itself
     */
    public Optional<LocalUpstream> upstream() {
        return Optional.ofNullable(upstream);
    }

    /**
     * Finds what a token stands for.
     *
     * @param token the token that an upstream copied to its call
     * @return the context, empty when the call it names has ended
     */
    public Optional<CallContext> context(String token) {
        return Optional.ofNullable(contexts.get(token));
    }

    /**
     * Takes a message of a node above.
     *
     * @param link the link it came by
     * @param message a call, credit, cancellation, grant or inquiry
     */
    public void received(Link link, Message message) {
        switch (message) {
            case Message.Call m -> call(link, m);
            case Message.Credit m -> find(m.id()).ifPresent(c -> c.credit(m.bytes()));
            case Message.Cancel m -> find(m.id()).ifPresent(IncomingCall::cancelled);
            case Message.Grant m -> find(m.id()).ifPresent(c -> c.granted(m.ticket(), m.granted()));
            case Message.Inquire m -> inquire(link, m);
            default -> parts.counters.count(Event.MESSAGE_UNMATCHED);
        }
    }

    /**
     * Takes notice that a link has ended.
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
     * Returns the calls that are not finished.
     *
     * @return their number
     */
    public long unfinished() {
        return calls.values().stream().filter(c -> !c.finished()).count();
    }

    /**
     * Forgets what is past its time; called at least every fence period, by one thread at a time.
     */
    public void sweep() {
        seen.rotate(parts.timers::nanos);
        long now = parts.timers.nanos();
        calls.values().removeIf(c -> c.forgettable(now));
        upstream().ifPresent(u -> u.keys().expire(now));
    }

    /**
     * Returns the least period between two sweeps, so that no id is forgotten before its copies are fenced.
     *
     * @return the period in nanoseconds
     */
    public long sweepNanos() {
        return settings.maxTtlNanos() + settings.fenceGraceNanos();
    }

    Parts parts() {
        return parts;
    }

    ServeSettings settings() {
        return settings;
    }

    CallContext openContext(Message.Call call, long deadline, Supplier<Link> link) {
        String token = Long.toHexString(parts.random.get().nextLong()) + "-" + tokens.incrementAndGet();
        CallContext context = CallContext.of(token, call, deadline, link);
        contexts.put(token, context);
        return context;
    }

    void closeContext(CallContext context) {
        contexts.remove(context.token());
        context.budget().close();
    }

    void forget(IncomingCall call) {
        calls.remove(call.id(), call);
    }

    void refuse(Link link, Message.Call call, Refusal refusal, Optional<CallContext> context) {
        Message.Report report = report(context);
        parts.decisions.note(new Decision.CallRefused(
                call.request(),
                call.target().upstream(),
                refusal.state(),
                refusal.reason(),
                report.inFlight(),
                report.limit(),
                report.pathLevel()));
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

    Message.Report report(Optional<CallContext> context) {
        Message.DeeperLevel below = context.map(c -> parts.levels.strictestLevel(c.services(), parts.timers.nanos()))
                .orElse(Message.DeeperLevel.NONE);
        LocalUpstream local = upstream;
        if (local == null) {
            return new Message.Report(0, 0, 0, 0, false, below);
        }
        Gate gate = local.gate();
        return new Message.Report(
                gate.inFlight() + gate.queued(),
                gate.limit(),
                gate.level(),
                gate.directLevel(),
                local.draining(),
                below);
    }

    UpstreamPort.HandOver handOver(Message.Call call, CallContext context, long remainingNanos) {
        return new UpstreamPort.HandOver(
                call.content(), context.token(), call.request(), call.importance(), remainingNanos);
    }

    void noteHandOver(Message.Call call, LocalUpstream local, long receivedNanos) {
        parts.counters.count(Event.HANDED_OVER);
        parts.ledger.handedOver(call.id(), call.key(), call.idempotent());
        if (local.drainedBefore(receivedNanos)) {
            parts.ledger.handedWhileDraining(call.id());
        }
    }

    /**
     * Notes what an upstream had when it ended, and returns what to call that. One that was leaving ends as planned,
     * with whatever it still has; that says nothing of its calls.
     */
    RefusalReason noteEnded(Message.Call call, LocalUpstream local) {
        if (local.draining()) {
            return RefusalReason.UPSTREAM_BROKEN;
        }
        String id = call.target().upstream();
        RequestDigest digest = RequestDigest.of(call.content());
        parts.decisions.note(new Decision.UpstreamCrashed(call.request(), id, digest));
        parts.quarantine.recordCrash(digest, id);
        return RefusalReason.UPSTREAM_ENDED;
    }

    /** Returns where calls run one at a time under which upstreams have ended. */
    SuspectLane lane() {
        return lane;
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
        if (!seen.claim(call.id())) {
            parts.counters.count(Event.CALL_REPEATED);
            return;
        }
        LocalUpstream local = upstream;
        if (local == null || !local.id().equals(call.target().upstream())) {
            turnAway(link, call, RefusalReason.UPSTREAM_UNREACHABLE);
            return;
        }
        if (local.draining()) {
            turnAway(link, call, RefusalReason.DRAINING);
            return;
        }
        if (Freshness.stale(call, parts.timers.nanos(), settings.fenceGraceNanos())) {
            turnAway(link, call, RefusalReason.FENCED);
            return;
        }
        IncomingCall incoming = new IncomingCall(this, local, call, link);
        calls.put(call.id(), incoming);
        incoming.start();
    }

    /** Refuses a call of which nothing but its fate is kept. */
    private void turnAway(Link link, Message.Call call, RefusalReason reason) {
        seen.markNeverRuns(call.id());
        refuse(link, call, notRun(reason), Optional.empty());
    }

    private void inquire(Link link, Message.Inquire inquiry) {
        CallId id = inquiry.id();
        IncomingCall call = calls.get(id);
        if (call != null) {
            call.rebind(link);
            return;
        }
        Refusal fate =
                neverRuns(inquiry) ? notRun(RefusalReason.SEALED) : Refusal.mayHaveRun(RefusalReason.CONNECTION_LOST);
        parts.decisions.note(new Decision.StatusReported(id, fate.state(), fate.reason(), parts.incarnation));
        refuse(link, id, fate, report(Optional.empty()));
    }

    /**
     * Tells whether an attempt was turned away or never arrived, and sees to it that it never runs. An unknown id
     * proves that it never arrived only to the process that the attempt was sent to, and only while that process keeps
     * ids of that age. A process that had started anew would seal what the one before it ran, and so give it a second
     * run.
     */
    private boolean neverRuns(Message.Inquire inquiry) {
        CallId id = inquiry.id();
        if (inquiry.targetIncarnation() != parts.incarnation) {
            return false;
        }
        if (seen.isNeverRun(id)) {
            return true;
        }
        boolean neverArrived = seen.claim(id) && seen.coversSince(inquiry.targetClock());
        if (neverArrived) {
            seen.markNeverRuns(id);
        }
        return neverArrived;
    }

    /**
     * What a server works with.
     *
     * @param incarnation drawn anew at each start of the process
     * @param timers the time
     * @param random where each thread's randomness comes from
     * @param counters where refusals are counted
     * @param ledger checks the promises
     * @param levels what is known of the levels of the services below
     * @param keys decides and asks about the owners of keys
     * @param decisions takes what is to be explained later
     * @param quarantine holds requests back under which upstreams end
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
            Quarantine quarantine) {}
}
