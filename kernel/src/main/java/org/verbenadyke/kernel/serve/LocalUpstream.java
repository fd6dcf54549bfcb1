package org.verbenadyke.kernel.serve;

import java.util.EnumSet;
import java.util.Set;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.StartNotices;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The colocated upstream, as it announced itself.
 */
public final class LocalUpstream {
    private final Attachment attachment;
    private final Gate gate;
    private final KeyTable keys;
    private final StartNotices notices;
    private final CrashEvidence crashEvidence;
    private final TimerService timers;
    private volatile long acceptingSinceNanos;
    private volatile Set<DrainCause> drainCauses;
    private volatile long drainingSinceNanos;

    private LocalUpstream(
            Attachment attachment,
            Gate gate,
            KeyTable keys,
            StartNotices notices,
            CrashEvidence crashEvidence,
            TimerService timers) {
        this.attachment = attachment;
        this.gate = gate;
        this.keys = keys;
        this.notices = notices;
        this.crashEvidence = crashEvidence;
        this.timers = timers;
        this.acceptingSinceNanos = timers.nanos();
        this.drainCauses = notices.leaving() ? Set.of(DrainCause.LEAVING) : Set.of();
    }

    /**
     * Creates an upstream that accepts calls, unless it has stated that it is leaving.
     *
     * @param attachment the upstream
     * @param gate admits calls to the upstream
     * @param keys the keys that the upstream owns
     * @param notices what the upstream has stated about itself
     * @param timers the clock
     * @return the upstream
     */
    public static LocalUpstream of(
            Attachment attachment, Gate gate, KeyTable keys, StartNotices notices, TimerService timers) {
        return new LocalUpstream(attachment, gate, keys, notices, CrashEvidence.empty(), timers);
    }

    /**
     * Creates an upstream that accepts calls, of an unknown start.
     *
     * @param id its id
     * @param service the service it serves
     * @param port the connection to the upstream
     * @param gate admits calls to the upstream
     * @param keys the keys that the upstream owns
     * @param timers the clock
     * @return the upstream
     */
    public static LocalUpstream of(
            String id, String service, UpstreamPort port, Gate gate, KeyTable keys, TimerService timers) {
        return of(Attachment.of(id, service, port), gate, keys, StartNotices.of(StartNotices.UNKNOWN_START), timers);
    }

    /**
     * Returns the same upstream under a new id.
     *
     * @param newId the id
     * @return the upstream, with the same gate, keys and notices
     */
    public LocalUpstream withId(String newId) {
        LocalUpstream renamed = new LocalUpstream(attachment.withId(newId), gate, keys, notices, crashEvidence, timers);
        renamed.drainCauses = drainCauses;
        return renamed;
    }

    /**
     * Returns the id.
     *
     * @return the id
     */
    public String id() {
        return attachment.id();
    }

    /**
     * Returns the service.
     *
     * @return the service
     */
    public String service() {
        return attachment.service();
    }

    /**
     * Returns the connection to the upstream.
     *
     * @return the port
     */
    public UpstreamPort port() {
        return attachment.port();
    }

    /**
     * Returns the gate that admits calls to the upstream.
     *
     * @return the gate
     */
    public Gate gate() {
        return gate;
    }

    /**
     * Returns the keys that the upstream owns.
     *
     * @return the table
     */
    public KeyTable keys() {
        return keys;
    }

    /**
     * Returns whether the upstream is draining.
     *
     * @return whether new calls are refused
     */
    public boolean draining() {
        return !drainCauses.isEmpty();
    }

    /** Returns whether the upstream is expected to end, so that its end says nothing about the calls in flight. */
    boolean plannedToEnd() {
        return drainCauses.stream().anyMatch(DrainCause::plannedEnd);
    }

    /**
     * Returns whether the upstream is draining and was so before a given time.
     *
     * @param nanos the time
     * @return whether a call that arrived at that time must not be handed over
     */
    public boolean drainingBefore(long nanos) {
        return draining() && drainingSinceNanos < nanos;
    }

    /**
     * Drains the upstream. Calls that wait for it are refused.
     *
     * @param cause why it gets no new calls
     */
    public void drain(DrainCause cause) {
        if (begin(cause)) {
            gate.flush();
        }
    }

    private synchronized boolean begin(DrainCause cause) {
        boolean begins = !draining();
        if (begins) {
            drainingSinceNanos = timers.nanos();
        }
        EnumSet<DrainCause> causes = EnumSet.of(cause);
        causes.addAll(drainCauses);
        drainCauses = Set.copyOf(causes);
        return begins;
    }

    /**
     * Begins or ends draining for a cause.
     *
     * @param cause why the upstream gets no new calls
     * @param holds whether the cause holds
     */
    public void setDraining(DrainCause cause, boolean holds) {
        if (holds) {
            drain(cause);
        } else {
            resume(cause);
        }
    }

    /**
     * Ends one cause for draining. An upstream that has stated that it is leaving goes on draining, and so does one for
     * which another cause holds.
     *
     * @param cause the cause that is over
     */
    public synchronized void resume(DrainCause cause) {
        if (!drainCauses.contains(cause) || cause == DrainCause.LEAVING && notices.leaving()) {
            return;
        }
        EnumSet<DrainCause> causes = EnumSet.copyOf(drainCauses);
        causes.remove(cause);
        drainCauses = Set.copyOf(causes);
        if (!draining()) {
            acceptingSinceNanos = timers.nanos();
        }
    }

    /**
     * Returns what the upstream has stated about itself.
     *
     * @return the notices
     */
    public StartNotices notices() {
        return notices;
    }

    /** Returns the calls that this start may have been running, should it crash. */
    CrashEvidence crashEvidence() {
        return crashEvidence;
    }

    /** Returns whether another upstream is the same start, or may be. */
    boolean mayBeSameStart(LocalUpstream other) {
        return gate == other.gate
                || attachment.start() == other.attachment.start()
                || attachment.start() == StartNotices.UNKNOWN_START
                || other.attachment.start() == StartNotices.UNKNOWN_START;
    }

    /** Admits waiting calls after the upstream has announced or named other limits. */
    public void limitsChanged() {
        gate.limitsChanged(timers.nanos());
    }

    /** Returns what the upstream has stated about itself, as other nodes are told. */
    Message.Stated stated() {
        if (!notices.rate().limited() && !notices.leaving()) {
            return Message.Stated.NOTHING;
        }
        return new Message.Stated(notices.start(), notices.rate().perSecond(), notices.leaving());
    }

    /** Drains the upstream, which has stated in an answer that it is leaving. */
    void leave() {
        drain(DrainCause.LEAVING);
        attachment.onLeaving().run();
    }

    /**
     * Returns when the upstream got its id or began to accept calls again.
     *
     * @return the time in nanoseconds
     */
    public long acceptingSinceNanos() {
        return acceptingSinceNanos;
    }

    long now() {
        return timers.nanos();
    }
}
