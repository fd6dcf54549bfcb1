package org.verbenadyke.kernel.serve;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.WaitingCall;
import org.verbenadyke.kernel.body.BodyReservation;
import org.verbenadyke.kernel.budget.RetryDecision;
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
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.once.StoredOutcome;
import org.verbenadyke.kernel.time.Subscription;

/**
 * One call received from a calling node. Runs inside a serial executor; only the link is read by other threads.
 */
final class IncomingCall implements WaitingCall, UpstreamPort.Listener, KeyedAttempt.Host, SuspectQueue.SuspectedCall {
    private static final int UNAVAILABLE = 503;

    private final CallServer server;
    private final LocalUpstream local;
    private final BodyReservation memory;
    private final SerialExecutor serial = SerialExecutor.create();
    private final CallTimes times;
    private final AnswerWriter answer;
    private final KeyHold key;
    private final HandOverCheck handOverCheck;
    private volatile Message.Call call;
    private volatile Link link;
    private volatile Phase phase = Phase.WAITING;
    private volatile long finishedNanos;
    private CallContext context;
    private UpstreamPort.Exchange exchange;
    private int status;
    private boolean deadlinePassed;
    private Refusal lastRefusal;
    private Subscription timer;
    private ReadTimeout readTimeout;

    IncomingCall(CallServer server, LocalUpstream local, Message.Call call, Link link, BodyReservation memory) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.link = link;
        this.memory = memory;
        this.times = CallTimes.receivedNow(call.withoutBody(), server.parts().timers(), server.settings());
        this.key = new KeyHold(local.keys(), server.parts().ledger(), call.key());
        this.handOverCheck = new HandOverCheck(server, local, call, this);
        this.answer = AnswerWriter.of(call, server, serial);
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

    boolean evictable(long now) {
        return finished() && now - finishedNanos > server.sweepNanos();
    }

    void discardAnswer() {
        answer.discard();
    }

    void start() {
        serial.run(() -> {
            timer = times.atDeadline(() -> serial.run(this::onDeadline));
            if (call.idempotent() || call.key().isEmpty()) {
                local.gate().offer(this, times.received());
                return;
            }
            KeyedAttempt.begin(server, local, call, serial, this);
        });
    }

    void credit(int bytes) {
        serial.run(() -> requestIf(answer.credit(bytes)));
    }

    void retryDecided(long ticket, RetryDecision decision) {
        Optional.ofNullable(context).ifPresent(c -> c.budget().decided(ticket, decision));
    }

    void cancelled() {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                refuseNow(server.notRun(RefusalReason.CANCELLED));
            } else if (phase == Phase.HANDED && call.idempotent()) {
                server.parts().counters().refused(RunState.MAY_HAVE_RUN, RefusalReason.CANCELLED);
                cancelExchange();
            } else if (phase == Phase.HANDED) {
                requestIf(answer.abandon());
            }
        });
    }

    void linkLost(Link lost) {
        serial.run(() -> {
            if (link == lost && phase == Phase.WAITING) {
                refuseNow(server.notRun(RefusalReason.SEALED));
            } else if (link == lost && phase == Phase.HANDED && call.idempotent()) {
                cancelExchange();
            } else if (link == lost && phase == Phase.HANDED && answer.streaming()) {
                requestIf(answer.abandon());
            }
        });
    }

    /** Sends the answer, or the refusal if there is no answer, over a new link. */
    void rebind(Link newLink) {
        serial.run(() -> {
            link = newLink;
            server.parts().counters().count(Event.ANSWER_REPLAYED);
            if (lastRefusal != null) {
                newLink.send(new Message.Refused(call.id(), lastRefusal, report()));
            } else if (!answer.replay(newLink, this::report) && (finished() || answer.streaming())) {
                newLink.send(new Message.Refused(
                        call.id(), new Refusal(RunState.RAN, RefusalReason.CONNECTION_LOST, 0), report()));
                requestIf(answer.abandon());
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
                refuseNow(server.notRun(reason, local));
            }
        });
    }

    @Override
    public void unreachable() {
        failNotRun(RefusalReason.UPSTREAM_UNREACHABLE, ConcurrencyLimit.Outcome.IGNORED);
    }

    @Override
    public void notRun() {
        failNotRun(RefusalReason.UPSTREAM_REFUSED, ConcurrencyLimit.Outcome.SHED);
    }

    @Override
    public void written() {
        ifHandedOver(() -> {
            if (handOverCheck.dropBody()) {
                call = call.withoutBody();
                memory.release();
            }
        });
    }

    @Override
    public void notice(UpstreamNotice notice) {
        serial.run(() -> server.received(local, notice, times.handedOver()));
    }

    @Override
    public void head(int newStatus, List<HeaderField> headers) {
        ifHandedOver(() -> {
            status = newStatus;
            times.recordHead();
            timer.cancel();
            readTimeout = ReadTimeout.start(server, serial, times, answer, this::onReadTimeout);
            timer = readTimeout;
            Message.Head head = new Message.Head(call.id(), newStatus, headers, context.hasFailedChild(), report());
            answer.head(head, link);
            requestIf(answer.wantsMore());
        });
    }

    @Override
    public void data(byte[] bytes) {
        ifHandedOver(() -> {
            answer.data(bytes, link);
            requestIf(answer.wantsMore());
            readTimeout.progressed(bytes.length);
        });
    }

    @Override
    public void end() {
        ifHandedOver(() -> {
            answer.end(link);
            handOverCheck.answered(status);
            finish(status == UNAVAILABLE ? ConcurrencyLimit.Outcome.SHED : ConcurrencyLimit.Outcome.ANSWERED);
        });
    }

    @Override
    public void broken() {
        ifHandedOver(() -> failLost(handOverCheck.connectionLost()));
    }

    @Override
    public void upstreamCrashed() {
        ifHandedOver(() -> failLost(handOverCheck.connectionRefused()));
    }

    private void failLost(RefusalReason reason) {
        fail(Refusal.mayHaveRun(reason), ConcurrencyLimit.Outcome.IGNORED);
    }

    private void ifHandedOver(Runnable step) {
        serial.run(() -> {
            if (phase == Phase.HANDED) {
                step.run();
            }
        });
    }

    private void failNotRun(RefusalReason reason, ConcurrencyLimit.Outcome outcome) {
        serial.run(() -> {
            server.parts().ledger().neverReached(call.id());
            fail(server.notRun(reason), outcome);
        });
    }

    private void fail(Refusal refusal, ConcurrencyLimit.Outcome outcome) {
        if (phase == Phase.HANDED) {
            lastRefusal = refusal;
            sendRefusal(refusal);
            finish(outcome);
        }
    }

    @Override
    public boolean waiting() {
        return phase == Phase.WAITING;
    }

    @Override
    public void keyGranted() {
        key.claim();
        local.gate().offer(this, times.now());
    }

    @Override
    public void replayAnswer(StoredOutcome.CompleteAnswer earlier) {
        server.parts().counters().count(Event.ANSWER_REPLAYED);
        answer.writeWhole(earlier, link, report());
        phase = Phase.FINISHED;
        complete();
    }

    @Override
    public void refuseKeyed(Refusal refusal) {
        refuseNow(refusal);
    }

    private void handOver() {
        times.recordHandOver();
        if (phase != Phase.WAITING || handOverCheck.blocks(times, this::refuseNow)) {
            local.gate().releaseUnused(times.handedOver(), call.depth());
            return;
        }
        phase = Phase.HANDED;
        server.recordHandOver(call, local, times.received());
        context = server.openContext(call, times, this::link);
        exchange = local.port().start(server.handOver(call, context, times.deadline() - times.handedOver()), this);
    }

    @Override
    public void resume() {
        serial.run(() -> {
            if (phase == Phase.WAITING) {
                local.gate().offer(this, times.now());
            }
        });
    }

    private void requestIf(boolean wanted) {
        if (wanted && exchange != null) {
            exchange.request();
        }
    }

    private void onReadTimeout() {
        handOverCheck.cancelled(times.deadline());
        exchange.cancel();
        failLost(RefusalReason.UPSTREAM_BROKEN);
    }

    private void cancelExchange() {
        handOverCheck.cancelled(times.deadline());
        exchange.cancel();
        finish(ConcurrencyLimit.Outcome.IGNORED);
    }

    private void onDeadline() {
        if (phase == Phase.WAITING) {
            refuseNow(server.notRun(RefusalReason.DEADLINE));
            return;
        }
        if (phase != Phase.HANDED || deadlinePassed && !call.idempotent() && !times.graceExpired()) {
            return;
        }
        if (!deadlinePassed) {
            deadlinePassed = true;
            sendRefusal(Refusal.mayHaveRun(RefusalReason.DEADLINE));
        }
        if (call.idempotent() || times.graceExpired()) {
            lastRefusal = Refusal.mayHaveRun(RefusalReason.DEADLINE);
            cancelExchange();
            return;
        }
        timer = server.parts().timers().after(times.graceAfterDeadline(), () -> serial.run(this::onDeadline));
    }

    /** Refuses a call that holds no slot. */
    private void refuseNow(Refusal refusal) {
        phase = Phase.FINISHED;
        local.gate().withdraw(this);
        lastRefusal = refusal;
        sendRefusal(refusal);
        key.withdraw(refusal);
        complete();
    }

    private void sendRefusal(Refusal refusal) {
        server.refuse(link, call, refusal, Optional.ofNullable(context));
    }

    private void finish(ConcurrencyLimit.Outcome outcome) {
        phase = Phase.FINISHED;
        long now = times.now();
        key.settle(Optional.ofNullable(lastRefusal), answer.stored(), now);
        server.closeContext(context);
        complete();
        local.gate().release(now, times.latency(now), outcome, call.depth());
    }

    /** Ends the call. A call that may be inquired about is retained for a while, without its body. */
    private void complete() {
        finishedNanos = times.recordEnd();
        timer.cancel();
        handOverCheck.finished();
        call = call.withoutBody();
        exchange = null;
        answer.discardIncomplete();
        memory.release();
        if (call.idempotent()) {
            server.forget(this);
        }
    }

    private Message.Report report() {
        return server.report(Optional.ofNullable(context));
    }
}
