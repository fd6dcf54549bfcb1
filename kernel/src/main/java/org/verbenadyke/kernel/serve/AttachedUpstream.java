package org.verbenadyke.kernel.serve;

import java.util.Optional;

import org.verbenadyke.kernel.quarantine.CrashFinding;

/**
 * The upstream that is attached to the node, and what is concluded from its attachment and detachment: a start that is
 * replaced or refuses connections has crashed, unless it announced that it leaves. One that only fell silent may go on.
 */
public final class AttachedUpstream {
    private final CrashRecorder crashes;
    private volatile LocalUpstream upstream;
    private volatile LocalUpstream lastAttached;

    private AttachedUpstream(CrashRecorder crashes) {
        this.crashes = crashes;
    }

    static AttachedUpstream none(CrashRecorder crashes) {
        return new AttachedUpstream(crashes);
    }

    /** Returns the upstream, if one is attached. */
    Optional<LocalUpstream> get() {
        return Optional.ofNullable(upstream);
    }

    /** Returns the upstream, null if none is attached; for each call and report, where an Optional would be garbage. */
    LocalUpstream getOrNull() {
        return upstream;
    }

    void attach(LocalUpstream local) {
        LocalUpstream before = exchange(local);
        if (before == null || before.gate() == local.gate()) {
            return;
        }
        before.drain(DrainCause.DETACHED);
        if (!before.mayBeSameStart(local)) {
            crashes.ended(before, CrashFinding.REPLACED);
        }
    }

    void detach() {
        get().ifPresent(u -> u.drain(DrainCause.DETACHED));
        upstream = null;
    }

    /** Detaches the upstream, which refuses connections. Calls that wait for it are refused. */
    public void detachCrashed() {
        get().ifPresent(u -> crashes.ended(u, CrashFinding.CONNECTION_REFUSED));
        detach();
    }

    /**
     * Called when an upstream refuses connections that is not detached for that, as it may start again at its address:
     * unless it announced that it leaves, it has crashed.
     */
    public void crashed() {
        get().ifPresent(crashes::crashed);
    }

    /** Called when the upstream has reported once more. */
    public void reported() {
        get().ifPresent(u -> u.crashEvidence().reported(u.now()));
    }

    /** Makes another upstream the attached one, and returns the one that was attached last. */
    private synchronized LocalUpstream exchange(LocalUpstream local) {
        LocalUpstream before = lastAttached;
        lastAttached = local;
        upstream = local;
        return before;
    }
}
