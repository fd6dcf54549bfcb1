package org.verbenadyke.kernel.serve;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.WaitingCall;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.once.StoredOutcome;
import org.verbenadyke.kernel.time.Subscription;

/**
 * One call received from a node above. Everything happens inside a serial runner; only the link is read from elsewhere.
 */
final class IncomingCall implements WaitingCall, UpstreamPort.Listener, KeyedTry.Host, SuspectLane.Suspected {
    private static final int UNAVAILABLE = 503;

    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final SerialExecutor serial = SerialExecutor.create();
    private final CallTimes times;
    private final AnswerWriter answer;
    private final SuspectPass suspicion;
    private volatile Link link;
    private volatile Phase phase = Phase.WAITING;
    private volatile long finishedNanos;
    private CallContext context;
    private UpstreamPort.Exchange exchange;
    private long handedNanos;
    private long headNanos;
    private int status;
    private boolean keyClaimed;
    private boolean deadlinePassed;
    private Refusal lastRefusal;
    private Subscription timer;
    private IdleTimeout idle;

    IncomingCall(CallServer server, LocalUpstream local, Message.Call call, Link link) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.link = link;
        this.times = CallTimes.receivedNow(call, server.parts().timers(), server.settings());
        this.suspicion = new SuspectPass(server, local, call, this);
        this.answer = new AnswerWriter(call.id(), server.settings(), !call.idempotent());
    }

    CallId id() {
        return call.id();
    }

    Link link() {
        return link;
    }

    boolean finished() {
        return phase == Phase.FINISHED;
    }

    boolean forgettable(long now) {
        return finished() && now - finishedNanos > server.sweepNanos();
    }

    void start() {
        serial.run(() -> {
            timer = server.parts()
                    .timers()
                    .after(times.deadline() - times.received(), () -> serial.run(this::onDeadline));
            if (call.idempotent() || call.key().isEmpty()) {
                local.gate().offer(this, times.received());
                return;
            }
            KeyedTry.begin(server, local, call, serial, this);
        });
    }

    void credit(int bytes) {
        serial.run(() -> {
            if (answer.credit(bytes) && exchange != null && !finished()) {
                exchange.request();
            }
        });
    }

    void granted(long ticket, boolean granted) {
        CallContext c = context;
        if (c != null) {
            c.budget().decided(ticket, granted);
        }
    }

    void cancelled() {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                refuseNotRun(RefusalReason.CANCELLED);
            } else if (phase == Phase.HANDED && call.idempotent()) {
                server.parts().counters().refused(RunState.MAY_HAVE_RUN, RefusalReason.CANCELLED);
                breakOff();
            }
        });
    }

    void linkLost(Link lost) {
        serial.run(() -> {
            if (link != lost) {
                return;
            }
            if (phase == Phase.WAITING) {
                refuseNotRun(RefusalReason.SEALED);
            } else if (phase == Phase.HANDED && call.idempotent()) {
                breakOff();
            }
        });
    }

    /** Gives the answer, or what is known of it, over a new link. */
    void rebind(Link newLink) {
        serial.run(() -> {
            link = newLink;
            server.parts().counters().count(Event.ANSWER_REPLAYED);
            if (lastRefusal != null) {
                newLink.send(new Message.Refused(call.id(), lastRefusal, report()));
            } else if (!answer.replay(newLink, this::report) && finished()) {
                newLink.send(new Message.Refused(
                        call.id(), new Refusal(RunState.RAN, RefusalReason.CONNECTION_LOST, 0), report()));
            }
            Optional.ofNullable(context).ifPresent(c -> c.budget().resendPending());
        });
    }

    @Override
    public Importance importance() {
        return call.importance();
    }

    @Override
    public int rank() {
        return call.importance().rank(call.request(), false);
    }

    @Override
    public int depth() {
        return call.depth();
    }

    @Override
    public long deadlineNanos() {
        return times.deadline();
    }

    @Override
    public long dueNanos() {
        return times.due();
    }

    @Override
    public void admitted() {
        serial.run(this::handOver);
    }

    @Override
    public void shed(RefusalReason reason) {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                refuseNotRun(reason);
            }
        });
    }

    @Override
    public void unreachable() {
        neverRan(RefusalReason.UPSTREAM_UNREACHABLE, ConcurrencyLimit.Outcome.IGNORED);
    }

    @Override
    public void notRun() {
        neverRan(RefusalReason.UPSTREAM_REFUSED, ConcurrencyLimit.Outcome.SHED);
    }

    @Override
    public void head(int newStatus, List<HeaderField> headers) {
        whileHanded(() -> {
            status = newStatus;
            headNanos = times.now();
            timer.cancel();
            idle = IdleTimeout.start(
                    server.parts().timers(), server.settings().idleNanos(), serial, answer::wantsMore, this::onIdle);
            timer = idle;
            Message.Head head = new Message.Head(call.id(), newStatus, headers, context.hasFailedChild(), report());
            answer.head(head, link);
            requestMore();
        });
    }

    @Override
    public void data(byte[] bytes) {
        whileHanded(() -> {
            idle.progressed();
            answer.data(bytes, link);
            requestMore();
        });
    }

    @Override
    public void end() {
        whileHanded(() -> {
            answer.end(link);
            server.parts().quarantine().recordAnswer(call.content());
            finish(status == UNAVAILABLE ? ConcurrencyLimit.Outcome.SHED : ConcurrencyLimit.Outcome.ANSWERED);
        });
    }

    @Override
    public void broken() {
        serial.run(() -> fail(Refusal.mayHaveRun(RefusalReason.UPSTREAM_BROKEN), ConcurrencyLimit.Outcome.IGNORED));
    }

    @Override
    public void upstreamCrashed() {
        whileHanded(() -> {
            Refusal refusal = Refusal.mayHaveRun(server.noteEnded(call, local));
            fail(refusal, ConcurrencyLimit.Outcome.IGNORED);
        });
    }

    private void whileHanded(Runnable step) {
        serial.run(() -> {
            if (phase == Phase.HANDED) {
                step.run();
            }
        });
    }

    private void neverRan(RefusalReason reason, ConcurrencyLimit.Outcome outcome) {
        serial.run(() -> {
            server.parts().ledger().neverReached(call.id());
            fail(server.notRun(reason), outcome);
        });
    }

    private void fail(Refusal refusal, ConcurrencyLimit.Outcome outcome) {
        if (phase == Phase.HANDED) {
            refuse(refusal);
            finish(outcome);
        }
    }

    @Override
    public boolean waiting() {
        return phase == Phase.WAITING;
    }

    @Override
    public void ownsKey() {
        keyClaimed = true;
        local.gate().offer(this, times.now());
    }

    @Override
    public void adopt(StoredOutcome.CompleteAnswer whole) {
        server.parts().counters().count(Event.ANSWER_REPLAYED);
        answer.whole(whole, link, report());
        phase = Phase.FINISHED;
        conclude();
    }

    @Override
    public void refuseKeyed(Refusal refusal) {
        refuseNow(refusal);
    }

    private void handOver() {
        handedNanos = times.now();
        if (phase != Phase.WAITING || heldBack()) {
            local.gate().release(handedNanos, 0, ConcurrencyLimit.Outcome.IGNORED, call.depth());
            return;
        }
        phase = Phase.HANDED;
        server.noteHandOver(call, local, times.received());
        context = server.openContext(call, times.deadline(), this::link);
        exchange = local.port().start(server.handOver(call, context, times.deadline() - handedNanos), this);
    }

    /** Refuses the call if it is too late, or leaves it waiting if it must not run beside another. */
    private boolean heldBack() {
        boolean late = handedNanos >= times.deadline();
        if (late || times.stale()) {
            refuseNotRun(late ? RefusalReason.DEADLINE : RefusalReason.FENCED);
            return true;
        }
        return suspicion.denied(this::refuseNow);
    }

    @Override
    public void resume() {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                local.gate().offer(this, times.now());
            }
        });
    }

    private void requestMore() {
        if (answer.wantsMore()) {
            exchange.request();
        }
    }

    private void onIdle() {
        exchange.cancel();
        fail(Refusal.mayHaveRun(RefusalReason.UPSTREAM_BROKEN), ConcurrencyLimit.Outcome.IGNORED);
    }

    private void breakOff() {
        exchange.cancel();
        finish(ConcurrencyLimit.Outcome.IGNORED);
    }

    private void onDeadline() {
        if (phase == Phase.WAITING) {
            refuseNotRun(RefusalReason.DEADLINE);
            return;
        }
        if (phase != Phase.HANDED || deadlinePassed && !call.idempotent() && !times.expiredForGood()) {
            return;
        }
        if (!deadlinePassed) {
            deadlinePassed = true;
            tellAbove(Refusal.mayHaveRun(RefusalReason.DEADLINE));
        }
        if (call.idempotent() || times.expiredForGood()) {
            lastRefusal = Refusal.mayHaveRun(RefusalReason.DEADLINE);
            breakOff();
            return;
        }
        timer = server.parts().timers().after(times.afterDeadline(), () -> serial.run(this::onDeadline));
    }

    private void refuseNotRun(RefusalReason reason) {
        refuseNow(server.notRun(reason));
    }

    /** Refuses a call that holds no slot. */
    private void refuseNow(Refusal refusal) {
        phase = Phase.FINISHED;
        local.gate().withdraw(this);
        refuse(refusal);
        if (keyClaimed) {
            local.keys().withdraw(call.key(), new StoredOutcome.NoAnswer(refusal));
        }
        conclude();
    }

    private void refuse(Refusal refusal) {
        lastRefusal = refusal;
        tellAbove(refusal);
    }

    private void tellAbove(Refusal refusal) {
        server.refuse(link, call, refusal, Optional.ofNullable(context));
    }

    private void finish(ConcurrencyLimit.Outcome outcome) {
        phase = Phase.FINISHED;
        long now = times.now();
        long latency = headNanos == 0 ? now - handedNanos : headNanos - handedNanos;
        if (keyClaimed) {
            Optional<Refusal> refusal = Optional.ofNullable(lastRefusal);
            KeySettlement.settle(local.keys(), server.parts().ledger(), call.key(), refusal, answer.kept(), now);
        }
        server.closeContext(context);
        conclude();
        local.gate().release(now, latency, outcome, call.depth());
    }

    private void conclude() {
        finishedNanos = times.now();
        timer.cancel();
        suspicion.over();
        if (call.idempotent()) {
            server.forget(this);
        }
    }

    private Message.Report report() {
        return server.report(Optional.ofNullable(context));
    }
}
