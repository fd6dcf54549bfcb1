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
 * One attempt of a request. State is changed only inside the serial executor of the request; only the link is read by
 * other threads.
 */
final class Attempt {
    /** How often an answer that is still coming after its deadline is checked, in nanoseconds. */
    static final long PROGRESS_CHECK_NANOS = 200_000_000L;

    /** How long an answer may still be coming after its deadline, in nanoseconds: a long one to a slow reader. */
    static final long MAX_LATE_NANOS = 60_000_000_000L;

    private final CallId id;
    private final Dispatch dispatch;
    private final Candidate candidate;
    private final long startNanos;
    private final List<Message> deferredMessages = new ArrayList<>();
    private volatile Link link;
    private long targetIncarnation;
    private long targetClock;
    private boolean headSeen;
    private long receivedBytes;
    private long checkedBytes = -1;
    private boolean concluded;
    private boolean countedOnLink;
    private boolean usageReported;
    private boolean lostByUpstream;

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
            targetIncarnation = newLink.peerIncarnation();
            targetClock = newLink.peerClock();
        }
        newLink.adjustAwaited(1);
        countedOnLink = true;
        this.link = newLink;
    }

    /** Stops counting the attempt as awaited on the link; {@link #link} still returns the link. */
    void unbind() {
        if (link != null && countedOnLink) {
            link.adjustAwaited(-1);
        }
        countedOnLink = false;
    }

    /**
     * Returns the incarnation of the process that the attempt was first sent to. Inquiries sent later to another
     * incarnation don't change the value.
     */
    long targetIncarnation() {
        return targetIncarnation;
    }

    /** Creates the inquiry about the outcome of the attempt. */
    Message.Inquire inquiry() {
        return new Message.Inquire(id, targetIncarnation, targetClock);
    }

    boolean sent() {
        return link != null;
    }

    boolean headSeen() {
        return headSeen;
    }

    void markHeadSeen() {
        headSeen = true;
    }

    /** Marks the attempt as concluded: the called node has sent its final message about the attempt. */
    void conclude() {
        concluded = true;
    }

    boolean concluded() {
        return concluded;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    void addReceivedBytes(int bytes) {
        receivedBytes += bytes;
    }

    /**
     * Returns whether an answer whose deadline has passed may go on: more of it has come since the last call, and it
     * isn't late for too long. The first call returns true.
     */
    boolean mayBeLate(long lateNanos) {
        boolean more = receivedBytes != checkedBytes;
        checkedBytes = receivedBytes;
        return more && lateNanos < MAX_LATE_NANOS;
    }

    List<Message> deferredMessages() {
        return deferredMessages;
    }

    /** Applies the load report of the called node. */
    void applyReport(Request request, String pathClass, Message.Report report, long nowNanos) {
        candidate.reported(pathClass, report, nowNanos);
        request.observer().serviceReached(request.service());
        if (!report.deeperLevel().service().isEmpty()) {
            request.observer().serviceReached(report.deeperLevel().service());
        }
        if (!usageReported && !report.usage().isEmpty()) {
            usageReported = true;
            request.observer().usageReported(report.usage());
        }
    }

    /** Handles a refusal, the final message of the called node about the attempt. */
    void refused(Request request, String pathClass, Message.Refused refused, long nowNanos) {
        applyReport(request, pathClass, refused.report(), nowNanos);
        conclude();
        RefusalReason reason = refused.refusal().reason();
        lostByUpstream = reason == RefusalReason.UPSTREAM_BROKEN;
        if (reason == RefusalReason.UPSTREAM_REFUSED || reason == RefusalReason.UPSTREAM_LIMITED) {
            candidate.shed(nowNanos);
        }
    }

    /** Returns whether the connection of the called node to its upstream broke during the attempt. */
    boolean lostByUpstream() {
        return lostByUpstream;
    }

    /** Cancels the call at the called node, unless the attempt is over. */
    void cancel() {
        if (sent() && !concluded && !link.closed()) {
            link.send(new Message.Cancel(id));
        }
    }

    /**
     * Records a crash of the upstream. The node colocated with the upstream records the same crash but may die with it;
     * whichever node survives reports the crash to the others.
     */
    void upstreamCrashed(Dispatcher.Parts parts, Request request) {
        parts.quarantine().recordCrash(request.content(), candidate.upstream().id());
        upstreamFailed(parts);
    }

    /** Records a failure of the upstream, which may eject the upstream from routing for a while. */
    void upstreamFailed(Dispatcher.Parts parts) {
        if (candidate.failed(parts.timers().nanos())) {
            parts.counters().count(Event.UPSTREAM_EJECTED);
            parts.decisions().note(new Decision.Ejected(candidate.upstream().id(), dispatch.requestId()));
        }
    }
}
