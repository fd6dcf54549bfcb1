package org.verbenadyke.kernel.serve;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.Waiting;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.concurrent.Serial;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.once.KeptAnswer;
import org.verbenadyke.kernel.time.Subscription;

/**
 * One call received from a node above. Everything happens inside a serial runner; only the link is read from elsewhere.
 */
final class IncomingCall implements Waiting, UpstreamPort.Listener, KeyedTry.Host {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int UNAVAILABLE = 503;
    private static final int ONCE_EXTRA_TTLS = 2;

    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final Serial serial = Serial.create();
    private final long receivedNanos;
    private final long deadlineNanos;
    private final AnswerWriter answer;
    private volatile Link link;
    private volatile Phase phase = Phase.WAITING;
    private volatile long finishedNanos;
    private CallContext context;
    private UpstreamPort.Exchange exchange;
    private long handedNanos;
    private long headNanos;
    private long progressNanos;
    private int status;
    private boolean keyClaimed;
    private boolean deadlinePassed;
    private Refusal lastRefusal;
    private Subscription timer;

    IncomingCall(CallServer server, LocalUpstream local, Message.Call call, Link link) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.link = link;
        this.receivedNanos = server.parts().timers().nanos();
        long ttl =
                Math.min(call.ttlMicros() * NANOS_PER_MICRO, server.settings().maxTtlNanos());
        this.deadlineNanos = receivedNanos + ttl;
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

    /** Tells whether the call may have waited unseen for longer than its time to live. */
    boolean stale() {
        return Freshness.stale(
                call, server.parts().timers().nanos(), server.settings().fenceGraceNanos());
    }

    void start() {
        serial.run(() -> {
            timer = server.parts().timers().after(deadlineNanos - receivedNanos, () -> serial.run(this::onDeadline));
            if (call.idempotent() || call.key().isEmpty()) {
                local.gate().offer(this, receivedNanos);
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
            c.budget().granted(ticket, granted);
        }
    }

    void cancelled() {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                refuseNotRun(RefusalReason.CANCELLED);
            } else if (phase == Phase.HANDED && call.idempotent()) {
                server.parts().counters().refused(RunState.MAY_HAVE_RUN, RefusalReason.CANCELLED);
                exchange.cancel();
                finish(ConcurrencyLimit.Outcome.IGNORED);
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
                exchange.cancel();
                finish(ConcurrencyLimit.Outcome.IGNORED);
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
            Optional.ofNullable(context).ifPresent(c -> c.budget().askAgain());
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
        return deadlineNanos;
    }

    @Override
    public long dueNanos() {
        return receivedNanos + call.dueMicros() * NANOS_PER_MICRO;
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
        serial.run(() -> {
            if (phase != Phase.HANDED) {
                return;
            }
            status = newStatus;
            headNanos = server.parts().timers().nanos();
            progressNanos = headNanos;
            timer.cancel();
            armIdleTimer(server.settings().idleNanos());
            Message.Head head = new Message.Head(call.id(), newStatus, headers, context.hasFailedChild(), report());
            answer.head(head, link);
            requestMore();
        });
    }

    @Override
    public void data(byte[] bytes) {
        serial.run(() -> {
            if (phase != Phase.HANDED) {
                return;
            }
            progressNanos = server.parts().timers().nanos();
            answer.data(bytes, link);
            requestMore();
        });
    }

    @Override
    public void end() {
        serial.run(() -> {
            if (phase != Phase.HANDED) {
                return;
            }
            answer.end(link);
            finish(status == UNAVAILABLE ? ConcurrencyLimit.Outcome.SHED : ConcurrencyLimit.Outcome.ANSWERED);
        });
    }

    @Override
    public void broken() {
        serial.run(() -> fail(Refusal.mayHaveRun(RefusalReason.UPSTREAM_BROKEN), ConcurrencyLimit.Outcome.IGNORED));
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
        local.gate().offer(this, server.parts().timers().nanos());
    }

    @Override
    public void adopt(KeptAnswer.Whole whole) {
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
        if (phase != Phase.WAITING) {
            local.gate().release(server.parts().timers().nanos(), 0, ConcurrencyLimit.Outcome.IGNORED, call.depth());
            return;
        }
        handedNanos = server.parts().timers().nanos();
        boolean late = handedNanos >= deadlineNanos;
        if (late || stale()) {
            refuseNotRun(late ? RefusalReason.DEADLINE : RefusalReason.FENCED);
            local.gate().release(handedNanos, 0, ConcurrencyLimit.Outcome.IGNORED, call.depth());
            return;
        }
        phase = Phase.HANDED;
        server.noteHandOver(call, local, receivedNanos);
        context = server.openContext(call, deadlineNanos, this::link);
        exchange = local.port().start(server.handOver(call, context, deadlineNanos - handedNanos), this);
    }

    private void requestMore() {
        if (answer.wantsMore()) {
            exchange.request();
        }
    }

    private void armIdleTimer(long nanos) {
        timer = server.parts().timers().after(nanos, () -> serial.run(this::onIdle));
    }

    private void onIdle() {
        if (phase != Phase.HANDED) {
            return;
        }
        long idle = server.parts().timers().nanos() - progressNanos;
        long most = server.settings().idleNanos();
        if (idle < most || !answer.wantsMore()) {
            armIdleTimer(idle < most ? most - idle : most);
            return;
        }
        exchange.cancel();
        fail(Refusal.mayHaveRun(RefusalReason.UPSTREAM_BROKEN), ConcurrencyLimit.Outcome.IGNORED);
    }

    private void onDeadline() {
        if (phase == Phase.WAITING) {
            refuseNotRun(RefusalReason.DEADLINE);
            return;
        }
        if (phase != Phase.HANDED || deadlinePassed && !call.idempotent() && !expiredForGood()) {
            return;
        }
        if (!deadlinePassed) {
            deadlinePassed = true;
            tellAbove(Refusal.mayHaveRun(RefusalReason.DEADLINE));
        }
        if (call.idempotent() || expiredForGood()) {
            exchange.cancel();
            lastRefusal = Refusal.mayHaveRun(RefusalReason.DEADLINE);
            finish(ConcurrencyLimit.Outcome.IGNORED);
            return;
        }
        long rest = server.settings().maxTtlNanos() * ONCE_EXTRA_TTLS;
        timer = server.parts().timers().after(rest, () -> serial.run(this::onDeadline));
    }

    private boolean expiredForGood() {
        return server.parts().timers().nanos() - deadlineNanos
                >= server.settings().maxTtlNanos() * ONCE_EXTRA_TTLS;
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
            local.keys().withdraw(call.key(), new KeptAnswer.Lost(refusal));
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
        long now = server.parts().timers().nanos();
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
        finishedNanos = server.parts().timers().nanos();
        timer.cancel();
        if (call.idempotent()) {
            server.forget(this);
        }
    }

    private Message.Report report() {
        return server.report(Optional.ofNullable(context));
    }
}
