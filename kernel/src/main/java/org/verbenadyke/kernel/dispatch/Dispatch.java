package org.verbenadyke.kernel.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Choice;
import org.verbenadyke.kernel.routing.RouteQuery;
import org.verbenadyke.kernel.time.Subscription;

/**
 * One request on its way: routes it, retries it within its budget and passes its answer on. Everything happens inside a
 * serial runner, so its fields need no other protection.
 */
final class Dispatch implements CallHandle {
    private static final int REROUTES_MOST = 3;

    private final Dispatcher dispatcher;
    private final Dispatcher.Parts parts;
    private final Request request;
    private final String pathClass;
    private final AnswerSink sink;
    private final SerialExecutor serial = SerialExecutor.create();
    private final Set<String> tried = new HashSet<>();
    private Attempt current;
    private boolean done;
    private boolean committed;
    private boolean asking;
    private int reroutes;
    private final OwedCredit credit = new OwedCredit();
    private RunState fate = RunState.NOT_RUN;
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
            next(current);
        });
    }

    @Override
    public void credit(int bytes) {
        serial.run(() -> {
            credit.add(bytes);
            if (!done) {
                credit.pay(current);
            }
        });
    }

    @Override
    public void cancel() {
        serial.run(() -> {
            if (done) {
                return;
            }
            parts.counters().refused(fate, RefusalReason.CANCELLED);
            finish();
        });
    }

    void received(Attempt attempt, Link link, Message message) {
        serial.run(() -> {
            if (done || attempt != current || attempt.link() != link) {
                parts.counters().count(Event.MESSAGE_UNMATCHED);
                return;
            }
            take(attempt, message);
        });
    }

    void linkLost(Attempt attempt, Link link) {
        serial.run(() -> {
            if (!done && attempt == current && attempt.link() == link && !attempt.concluded()) {
                lost(attempt);
            }
        });
    }

    private void take(Attempt attempt, Message message) {
        if (asking && !(message instanceof Message.Spend)) {
            attempt.held().add(message);
            return;
        }
        switch (message) {
            case Message.Head m -> head(attempt, m);
            case Message.Data m -> data(attempt, m);
            case Message.End m -> end(attempt, m);
            case Message.Refused m -> refused(attempt, m);
            case Message.Spend m ->
                request.budget().spend(granted -> attempt.link().send(new Message.Grant(m.id(), m.ticket(), granted)));
            default -> parts.counters().count(Event.MESSAGE_UNMATCHED);
        }
    }

    private void next(Attempt after) {
        if (done || after != current) {
            return;
        }
        RouteQuery query = new RouteQuery(
                request.service(),
                pathClass,
                dispatcher.rank(request),
                request.idempotent() ? "" : request.key(),
                dispatcher.avoided(request, tried));
        switch (parts.router().route(query, parts.timers().nanos())) {
            case Choice.Selected to -> open(dispatcher.open(this, to.candidate()));
            case Choice.Shed shed -> {
                request.observer().leadsTo(request.service());
                refuse(RefusalReason.SHED_EARLY);
            }
            case Choice.NoCandidate n -> refuse(RefusalReason.NO_UPSTREAM);
        }
    }

    private void open(Attempt attempt) {
        current = attempt;
        if (parts.quarantine().statusAtEntry(request.content()) instanceof QuarantineStatus.Quarantined held) {
            give(parts.quarantine().refusal(request.id(), held));
            return;
        }
        parts.links().acquire(attempt.candidate().upstream().node(), link -> serial.run(() -> send(attempt, link)));
    }

    private void send(Attempt attempt, Optional<Link> link) {
        if (done || attempt != current) {
            return;
        }
        if (link.isEmpty()) {
            attempt.failed(parts);
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
        link.get().send(RetryRules.call(request, attempt, now));
        if (link.get().closed()) {
            lost(attempt);
        }
        long patience = dispatcher.settings().attemptTimeoutNanos();
        if (patience > 0 && request.idempotent()) {
            parts.timers().after(patience, () -> serial.run(() -> tryTimedOut(attempt)));
        }
    }

    private void tryTimedOut(Attempt attempt) {
        if (!done && !committed && !asking && attempt == current) {
            askRetry(RetryReason.TIMED_OUT, () -> {});
        }
    }

    private void head(Attempt attempt, Message.Head m) {
        if (attempt.headSeen()) {
            return;
        }
        attempt.learn(request, pathClass, m.report(), parts.timers().nanos());
        long now = parts.timers().nanos();
        if (!RetryRules.failed(m.status())) {
            attempt.candidate().succeeded(now - attempt.startNanos());
            dispatcher.ratio(request).succeeded();
            dispatcher.returns().answered(request, now - attempt.startNanos());
            commit(attempt, m);
            return;
        }
        if (RetryRules.shed(m.status())) {
            attempt.candidate().shed(now);
        } else if (!m.retriesExhausted()) {
            attempt.failed(parts);
        }
        if (!RetryRules.retryable(request, m, dispatcher.settings().retryPerHop())) {
            request.observer().childFailed();
            commit(attempt, m);
            return;
        }
        fate = RunState.MAY_HAVE_RUN;
        askRetry(RetryRules.shed(m.status()) ? RetryReason.SHED : RetryReason.UPSTREAM_FAILED, () -> {
            request.observer().childFailed();
            commit(attempt, m);
        });
    }

    private void commit(Attempt attempt, Message.Head m) {
        attempt.sawHead();
        committed = true;
        deadline.cancel();
        sink.head(m.status(), m.headers());
        List<Message> held = List.copyOf(attempt.held());
        attempt.held().clear();
        held.forEach(h -> take(attempt, h));
    }

    private void data(Attempt attempt, Message.Data m) {
        if (!attempt.headSeen() || m.offset() != attempt.received()) {
            parts.counters().count(Event.MESSAGE_UNMATCHED);
            return;
        }
        attempt.receive(m.bytes().length);
        sink.data(m.bytes());
    }

    private void end(Attempt attempt, Message.End m) {
        if (!attempt.headSeen() || m.length() != attempt.received()) {
            abort(attempt);
            return;
        }
        attempt.conclude();
        parts.ledger().answered(request.id(), attempt.id());
        sink.end();
        finish();
    }

    private void refused(Attempt attempt, Message.Refused m) {
        attempt.refused(request, pathClass, m, parts.timers().nanos());
        Refusal refusal = m.refusal();
        if (committed) {
            abort(attempt);
            return;
        }
        if (refusal.state() != RunState.NOT_RUN || !request.idempotent()) {
            fate = refusal.state();
        }
        switch (refusal.reason()) {
            case DRAINING, STOPPING -> {
                attempt.candidate().drain();
                reroute(attempt, refusal.reason());
            }
            case SEALED, FENCED, KEY_NOT_OWNER, SHED_LEVEL -> reroute(attempt, refusal.reason());
            case UPSTREAM_UNREACHABLE -> {
                attempt.failed(parts);
                reroute(attempt, refusal.reason());
            }
            case SHED_QUEUE, UPSTREAM_REFUSED -> askRetry(RetryReason.SHED, () -> give(refusal));
            case UPSTREAM_ENDED -> {
                attempt.ended(parts, request);
                retryIfIdempotent(RetryReason.UPSTREAM_ENDED, refusal);
            }
            case UPSTREAM_BROKEN, CONNECTION_LOST -> {
                attempt.failed(parts);
                retryIfIdempotent(RetryReason.CONNECTION_LOST, refusal);
            }
            default -> give(refusal);
        }
    }

    private void retryIfIdempotent(RetryReason reason, Refusal refusal) {
        if (request.idempotent()) {
            askRetry(reason, () -> give(refusal));
        } else {
            give(refusal);
        }
    }

    private void lost(Attempt attempt) {
        if (!request.idempotent()) {
            inquire(attempt);
            return;
        }
        if (attempt.headSeen()) {
            abort(attempt);
            return;
        }
        fate = RunState.MAY_HAVE_RUN;
        attempt.failed(parts);
        if (asking) {
            return;
        }
        retryIfIdempotent(RetryReason.CONNECTION_LOST, Refusal.mayHaveRun(RefusalReason.CONNECTION_LOST));
    }

    private void inquire(Attempt attempt) {
        fate = RunState.MAY_HAVE_RUN;
        Inquiry.ask(parts, attempt, serial, () -> !done && attempt == current, this::lost);
    }

    private void reroute(Attempt attempt, RefusalReason reason) {
        if (reroutes >= REROUTES_MOST) {
            refuse(reason);
            return;
        }
        reroutes++;
        parts.counters().retried(RetryReason.REROUTED);
        dispatcher.noteReroute(request, attempt, reason);
        abandon(attempt);
        if (reason == RefusalReason.KEY_NOT_OWNER) {
            dispatcher.afterPause(serial, () -> next(null));
            return;
        }
        next(current);
    }

    private void askRetry(RetryReason reason, Runnable otherwise) {
        asking = true;
        RetryPermit.ask(dispatcher, request, reason, granted -> serial.run(() -> decided(granted, reason, otherwise)));
    }

    private void decided(boolean granted, RetryReason reason, Runnable otherwise) {
        asking = false;
        if (done) {
            return;
        }
        dispatcher.noteRetry(request, current, reason, granted);
        if (granted) {
            parts.counters().retried(reason);
            Candidate same = current.candidate();
            abandon(current);
            if (reason == RetryReason.CONNECTION_LOST && same.accepting()) {
                open(dispatcher.open(this, same));
            } else {
                next(current);
            }
            return;
        }
        otherwise.run();
        if (!done && current.link().closed()) {
            lost(current);
        }
    }

    private void abandon(Attempt attempt) {
        tried.add(attempt.candidate().upstream().id());
        attempt.held().clear();
        close(attempt);
        current = null;
    }

    private void close(Attempt attempt) {
        attempt.cancel();
        dispatcher.close(attempt);
    }

    private void deadlinePassed() {
        if (done || committed) {
            return;
        }
        if (current != null && current.sent() && !current.concluded()) {
            fate = RunState.MAY_HAVE_RUN;
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
        give(new Refusal(fate, reason, dispatcher.retryAfterMillis()));
    }

    private void give(Refusal refusal) {
        Refusal told = fate == RunState.NOT_RUN ? refusal : refusal.knownAs(fate);
        request.observer().childFailed();
        parts.counters().refused(told.state(), told.reason());
        sink.refused(dispatcher.returns().timed(request, told, parts.timers().nanos()));
        finish();
    }

    private void finish() {
        done = true;
        deadline.cancel();
        if (current != null) {
            close(current);
        }
    }
}
