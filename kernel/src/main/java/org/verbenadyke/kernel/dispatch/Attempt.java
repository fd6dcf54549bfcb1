package org.verbenadyke.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.trace.Decision;

/**
 * One attempt of a request. Its state is changed only inside its request's serial runner; the link alone is read from
 * elsewhere.
 */
final class Attempt {
    private final CallId id;
    private final Dispatch dispatch;
    private final Candidate candidate;
    private final long startNanos;
    private final List<Message> held = new ArrayList<>();
    private volatile Link link;
    private long sentTo;
    private long sentClock;
    private boolean headSeen;
    private long received;
    private boolean concluded;
    private boolean awaited;

    Attempt(CallId id, Dispatch dispatch, Candidate candidate, long startNanos) {
        this.id = id;
        this.dispatch = dispatch;
        this.candidate = candidate;
        this.startNanos = startNanos;
    }

    CallId id() {
        return id;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    Candidate candidate() {
        return candidate;
    }

    long startNanos() {
        return startNanos;
    }

    Link link() {
        return link;
    }

    void bind(Link newLink) {
        unbind();
        if (link == null) {
            sentTo = newLink.peerIncarnation();
            sentClock = newLink.peerClock();
        }
        newLink.adjustAwaited(1);
        awaited = true;
        this.link = newLink;
    }

    /** Stops waiting on the link, which stays known. */
    void unbind() {
        if (link != null && awaited) {
            link.adjustAwaited(-1);
        }
        awaited = false;
    }

    /** Returns the incarnation of the process that the attempt was sent to, whoever was asked about it later. */
    long sentTo() {
        return sentTo;
    }

    /** Words the question what became of the attempt. */
    Message.Inquire inquiry() {
        return new Message.Inquire(id, sentTo, sentClock);
    }

    boolean sent() {
        return link != null;
    }

    boolean headSeen() {
        return headSeen;
    }

    void sawHead() {
        headSeen = true;
    }

    /** Notes that the node beside the upstream has said its last word on the attempt. */
    void conclude() {
        concluded = true;
    }

    boolean concluded() {
        return concluded;
    }

    long received() {
        return received;
    }

    void receive(int bytes) {
        received += bytes;
    }

    List<Message> held() {
        return held;
    }

    /** Takes the report of the node beside the upstream. */
    void learn(Request request, String pathClass, Message.Report report, long nowNanos) {
        candidate.reported(pathClass, report, nowNanos);
        request.observer().leadsTo(request.service());
        if (!report.deeperLevel().service().isEmpty()) {
            request.observer().leadsTo(report.deeperLevel().service());
        }
    }

    /** Takes a refusal, which is the last word of the node beside the upstream. */
    void refused(Request request, String pathClass, Message.Refused refused, long nowNanos) {
        learn(request, pathClass, refused.report(), nowNanos);
        conclude();
        if (refused.refusal().reason() == RefusalReason.UPSTREAM_REFUSED) {
            candidate.shed(nowNanos);
        }
    }

    /** Tells the node beside the upstream that nobody waits any more, unless the attempt is over. */
    void cancel() {
        if (sent() && !concluded && !link.closed()) {
            link.send(new Message.Cancel(id));
        }
    }

    /**
     * Notes that the upstream ended. The node beside it notes the same end and may die with it; whichever is left tells
     * the others.
     */
    void ended(Dispatcher.Parts parts, Request request) {
        parts.quarantine().recordCrash(request.content(), candidate.upstream().id());
        failed(parts);
    }

    /** Notes that the upstream failed, which may take it out of the choice for a while. */
    void failed(Dispatcher.Parts parts) {
        if (candidate.failed(parts.timers().nanos())) {
            parts.counters().count(Event.UPSTREAM_EJECTED);
            parts.decisions().note(new Decision.Ejected(candidate.upstream().id(), dispatch.requestId()));
        }
    }
}
