package org.verbenadyke.kernel.dispatch;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.routing.Choice;
import org.verbenadyke.kernel.time.Subscription;

/**
 * One request in flight: routed, retried within its budget and answered. All fields are confined to a serial executor.
 */
final class Dispatch implements CallHandle {
    private final Dispatcher dispatcher;
    private final Dispatcher.Parts parts;
    private final Request request;
    private final String pathClass;
    private final AnswerSink sink;
    private final SerialExecutor serial = SerialExecutor.create();
    private final AttemptHistory history = new AttemptHistory();
    private Attempt current;
    private boolean finished;
    private boolean committed;
    private boolean awaitingRetryDecision;
    private final CreditAccumulator credit = new CreditAccumulator();
    private RunState runState = RunState.NOT_RUN;
    private Subscription deadline;

    Dispatch(Dispatcher dispatcher, Request request, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.parts = dispatcher.parts();
        this.request = request;
        this.pathClass = request.pathClass();
        this.sink = sink;
    }

    @Override
    public RequestId requestId() {
        return request.id();
    }

    void start() {
        serial.run(() -> {
            long left = request.deadlineNanos() - parts.timers().nanos();
            deadline = parts.timers().after(left, () -> serial.run(this::deadlinePassed));
            routeNext(current);
        });
    }

    @Override
    public void credit(int bytes) {
        serial.run(() -> {
            credit.add(bytes);
            if (!finished) {
                credit.flush(current);
            }
        });
    }

    @Override
    public void cancel() {
        serial.run(() -> {
            if (!finished) {
                parts.counters().refused(runState, RefusalReason.CANCELLED);
                finish();
            }
        });
    }

    void received(Attempt attempt, Link link, Message message) {
        serial.run(() -> {
            if (finished || attempt != current || attempt.link() != link) {
                parts.counters().count(Event.MESSAGE_UNMATCHED);
                return;
            }
            handle(attempt, message);
        });
    }

    void linkLost(Attempt attempt, Link link) {
        serial.run(() -> {
            if (!finished && attempt == current && attempt.link() == link && !attempt.concluded()) {
                handleLinkLoss(attempt);
            }
        });
    }

    private void handle(Attempt attempt, Message message) {
        if (awaitingRetryDecision && !(message instanceof Message.Spend)) {
            attempt.deferredMessages().add(message);
            return;
        }
        switch (message) {
            case Message.Head m -> onHead(attempt, m);
            case Message.Data m -> onData(attempt, m);
            case Message.End m -> onEnd(attempt, m);
            case Message.Refused m -> onRefused(attempt, m);
            case Message.Spend m ->
                request.budget().spend(m.calls(), d -> attempt.link().send(new Message.Grant(m.id(), m.ticket(), d)));
            default -> parts.counters().count(Event.MESSAGE_UNMATCHED);
        }
    }

    private void routeNext(Attempt expected) {
        if (finished || expected != current) {
            return;
        }
        switch (dispatcher.route(request, pathClass, history.tried())) {
            case Choice.Selected to -> openAttempt(dispatcher.open(this, to.candidate()));
            case Choice.Shed shed -> {
                request.observer().serviceReached(request.service());
                refuse(RefusalReason.SHED_EARLY);
            }
            case Choice.NoCandidate n -> refuse(RefusalReason.NO_UPSTREAM);
            case Choice.TooLate t -> refuse(RefusalReason.STOPPING);
        }
    }

    private void openAttempt(Attempt attempt) {
        current = attempt;
        if (parts.quarantine().statusAtEntry(request.content()) instanceof QuarantineStatus.Quarantined quarantined) {
            finishRefused(parts.quarantine().refusal(request.id(), quarantined));
            return;
        }
        parts.links().acquire(attempt.candidate().upstream().node(), link -> serial.run(() -> send(attempt, link)));
    }

    private void send(Attempt attempt, Optional<Link> link) {
        if (finished || attempt != current) {
            return;
        }
        if (link.isEmpty()) {
            attempt.upstreamFailed(parts);
            reroute(attempt, RefusalReason.CONNECT_FAILED);
            return;
        }
        long now = parts.timers().nanos();
        if (request.deadlineNanos() <= now) {
            deadlinePassed();
            return;
        }
        attempt.bind(link.get());
        parts.ledger().attempted(request.id(), request.service(), attempt.id());
        link.get().send(RetryRules.buildCall(request, attempt, history.next(request.observer()), now));
        if (link.get().closed()) {
            handleLinkLoss(attempt);
        }
        long timeout = dispatcher.settings().attemptTimeoutNanos();
        if (timeout > 0 && request.idempotent()) {
            parts.timers().after(timeout, () -> serial.run(() -> attemptTimedOut(attempt)));
        }
    }

    private void attemptTimedOut(Attempt attempt) {
        if (!finished && !committed && !awaitingRetryDecision && attempt == current) {
            requestRetry(RetryReason.TIMED_OUT, () -> {});
        }
    }

    private void onHead(Attempt attempt, Message.Head m) {
        if (attempt.headSeen()) {
            return;
        }
        attempt.applyReport(request, pathClass, m.report(), parts.timers().nanos());
        long now = parts.timers().nanos();
        if (!RetryRules.isServerError(m.status())) {
            dispatcher.recordSuccess(request, attempt, m.report().calls(), now);
            commit(attempt, m);
            return;
        }
        if (RetryRules.isShed(m.status())) {
            attempt.candidate().shed(now);
        } else if (!m.retriesExhausted()) {
            attempt.upstreamFailed(parts);
        }
        if (!RetryRules.isRetryable(request, m, dispatcher.settings().retryPerHop())) {
            request.observer().childFailed();
            commit(attempt, m);
            return;
        }
        runState = RunState.MAY_HAVE_RUN;
        requestRetry(RetryRules.isShed(m.status()) ? RetryReason.UPSTREAM_SHED : RetryReason.UPSTREAM_FAILED, () -> {
            request.observer().childFailed();
            commit(attempt, m);
        });
    }

    private void commit(Attempt attempt, Message.Head m) {
        attempt.markHeadSeen();
        committed = true;
        request.observer().called(request.service(), m.report().calls());
        sink.head(m.status(), m.headers());
        List<Message> deferred = List.copyOf(attempt.deferredMessages());
        attempt.deferredMessages().clear();
        deferred.forEach(d -> handle(attempt, d));
    }

    private void onData(Attempt attempt, Message.Data m) {
        if (!attempt.headSeen() || m.offset() != attempt.receivedBytes()) {
            parts.counters().count(Event.MESSAGE_UNMATCHED);
            return;
        }
        attempt.addReceivedBytes(m.bytes().length);
        sink.data(m.bytes());
    }

    private void onEnd(Attempt attempt, Message.End m) {
        if (!attempt.headSeen() || m.length() != attempt.receivedBytes()) {
            abort(attempt);
            return;
        }
        attempt.conclude();
        parts.ledger().answered(request.id(), attempt.id());
        sink.end();
        finish();
    }

    private void onRefused(Attempt attempt, Message.Refused m) {
        attempt.refused(request, pathClass, m, parts.timers().nanos());
        Refusal refusal = m.refusal();
        if (committed) {
            abort(attempt);
            return;
        }
        if (refusal.state() != RunState.NOT_RUN || !request.idempotent()) {
            runState = refusal.state();
        }
        switch (refusal.reason()) {
            case DRAINING, STOPPING -> {
                attempt.candidate().drain();
                reroute(attempt, refusal.reason());
            }
            case SEALED, FENCED, KEY_NOT_OWNER, SHED_LEVEL -> reroute(attempt, refusal.reason());
            case UPSTREAM_LIMITED, BODY_MEMORY -> rerouteToUntried(attempt, refusal);
            case UPSTREAM_UNREACHABLE -> {
                attempt.upstreamFailed(parts);
                reroute(attempt, refusal.reason());
            }
            case SHED_QUEUE -> requestRetry(RetryReason.SHED, () -> finishRefused(refusal));
            case UPSTREAM_REFUSED -> requestRetry(RetryReason.UPSTREAM_SHED, () -> finishRefused(refusal));
            case UPSTREAM_ENDED -> {
                attempt.upstreamCrashed(parts, request);
                retryIfIdempotent(RetryReason.UPSTREAM_ENDED, refusal);
            }
            case UPSTREAM_BROKEN, CONNECTION_LOST -> {
                attempt.upstreamFailed(parts);
                retryIfIdempotent(RetryReason.CONNECTION_LOST, refusal);
            }
            default -> finishRefused(refusal);
        }
    }

    private void retryIfIdempotent(RetryReason reason, Refusal refusal) {
        if (request.idempotent()) {
            requestRetry(reason, () -> finishRefused(refusal));
        } else {
            finishRefused(refusal);
        }
    }

    private void handleLinkLoss(Attempt attempt) {
        if (!request.idempotent()) {
            runState = RunState.MAY_HAVE_RUN;
            Inquiry.start(parts, attempt, serial, () -> !finished && attempt == current, this::handleLinkLoss);
            return;
        }
        if (attempt.headSeen()) {
            abort(attempt);
            return;
        }
        runState = RunState.MAY_HAVE_RUN;
        attempt.upstreamFailed(parts);
        if (awaitingRetryDecision) {
            return;
        }
        retryIfIdempotent(RetryReason.CONNECTION_LOST, Refusal.mayHaveRun(RefusalReason.CONNECTION_LOST));
    }

    private void reroute(Attempt attempt, RefusalReason reason) {
        if (!history.tryReroute()) {
            refuse(reason);
            return;
        }
        parts.counters().retried(RetryReason.REROUTED);
        dispatcher.recordReroute(request, attempt, reason);
        abandon(attempt);
        if (reason == RefusalReason.KEY_NOT_OWNER) {
            dispatcher.afterKeyOwnerChange(serial, () -> routeNext(null));
            return;
        }
        routeNext(current);
    }

    private void rerouteToUntried(Attempt attempt, Refusal refusal) {
        history.recordTried(attempt.candidate().upstream().id());
        if (!dispatcher.hasUntriedUpstream(request, history.tried())) {
            finishRefused(refusal);
            return;
        }
        reroute(attempt, refusal.reason());
    }

    private void requestRetry(RetryReason reason, Runnable ifDenied) {
        awaitingRetryDecision = true;
        RetryPermit.request(dispatcher, request, reason, ok -> serial.run(() -> onDecision(ok, reason, ifDenied)));
    }

    private void onDecision(boolean granted, RetryReason reason, Runnable ifDenied) {
        awaitingRetryDecision = false;
        if (finished) {
            return;
        }
        dispatcher.recordRetry(request, current, reason, granted);
        if (granted) {
            parts.counters().retried(reason);
            history.recordRetry(reason);
            Attempt last = current;
            abandon(last);
            dispatcher
                    .retryTarget(request, last, reason, history.tried())
                    .ifPresentOrElse(to -> openAttempt(dispatcher.open(this, to)), () -> routeNext(current));
            return;
        }
        ifDenied.run();
        if (!finished && current.link().closed()) {
            handleLinkLoss(current);
        }
    }

    private void abandon(Attempt attempt) {
        history.recordTried(attempt.candidate().upstream().id());
        attempt.deferredMessages().clear();
        close(attempt);
        current = null;
    }

    private void close(Attempt attempt) {
        attempt.cancel();
        dispatcher.close(attempt);
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        if (committed) {
            if (current.mayBeLate(parts.timers().nanos() - request.deadlineNanos())) {
                deadline = parts.timers().after(Attempt.PROGRESS_CHECK_NANOS, () -> serial.run(this::deadlinePassed));
            } else {
                abort(current);
            }
            return;
        }
        if (current != null && current.sent() && !current.concluded()) {
            runState = RunState.MAY_HAVE_RUN;
        }
        refuse(RefusalReason.DEADLINE);
    }

    private void abort(Attempt attempt) {
        parts.counters().count(Event.ANSWER_ABORTED);
        request.observer().childFailed();
        sink.aborted();
        finish();
    }

    private void refuse(RefusalReason reason) {
        finishRefused(new Refusal(runState, reason, dispatcher.retryAfterMillis()));
    }

    private void finishRefused(Refusal refusal) {
        Refusal given = runState == RunState.NOT_RUN ? refusal : refusal.withState(runState);
        request.observer().childFailed();
        request.observer().called(request.service(), CallCounts.NONE);
        parts.counters().refused(given.state(), given.reason());
        sink.refused(dispatcher.withRetryAfter(request, given));
        finish();
    }

    private void finish() {
        finished = true;
        deadline.cancel();
        if (current != null) {
            close(current);
        }
    }
}
