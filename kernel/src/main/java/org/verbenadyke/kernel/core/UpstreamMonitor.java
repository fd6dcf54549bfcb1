package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Monitors the colocated upstream by its heartbeats: which start is the current one, whether the upstream is leaving,
 * and when it has fallen silent. A start is identified by the upstream's id and the start time; of two starts under one
 * id the one with the later time is newer. A delayed heartbeat changes nothing: neither one older than the newest of
 * the same start, nor one of a start that was replaced by another or that has announced its shutdown.
 */
public final class UpstreamMonitor {
    private final TimerService timers;
    private final long silentNanos;
    private final Listener listener;
    private final SerialExecutor serial = SerialExecutor.create();
    private final FinishedStarts finished = FinishedStarts.none();
    private UpstreamHeartbeat current;
    private boolean present;
    private long lastHeartbeatNanos;
    private long heartbeats;

    private UpstreamMonitor(TimerService timers, long silentNanos, Listener listener) {
        this.timers = timers;
        this.silentNanos = silentNanos;
        this.listener = listener;
    }

    /**
     * Starts a monitor.
     *
     * @param timers the clock and timers
     * @param silentNanos after how long without a heartbeat the upstream counts as gone, in nanoseconds
     * @param listener handles the changes
     * @return the monitor
     */
    public static UpstreamMonitor start(TimerService timers, long silentNanos, Listener listener) {
        UpstreamMonitor monitor = new UpstreamMonitor(timers, silentNanos, listener);
        timers.every(silentNanos / 2, () -> monitor.serial.run(monitor::checkSilence));
        return monitor;
    }

    /**
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     */
    public void heartbeat(UpstreamHeartbeat heartbeat) {
        serial.run(() -> handle(heartbeat));
    }

    /**
     * Handles the shutdown notice of an upstream, which may still finish its work in progress. The notice concerns one
     * start only; a later start under the same id is accepted.
     *
     * @param gone the start that is over; without a start time, the newest known under the id
     * @param announcement how the upstream announced it
     */
    public void shutdownAnnounced(UpstreamStart gone, LeavingAnnouncement announcement) {
        serial.run(() -> finish(gone, announcement));
    }

    /**
     * Called when nothing listens any more at the address of a start of the upstream. The upstream gets no work until
     * its next heartbeat.
     *
     * @param start the start
     */
    public void absent(UpstreamStart start) {
        serial.run(() -> {
            if (present && current.start().equals(start)) {
                present = false;
                listener.absent(current);
            }
        });
    }

    /**
     * Returns the newest heartbeat that was accepted.
     *
     * @return the heartbeat, empty before the first
     */
    public Optional<UpstreamHeartbeat> current() {
        return Optional.ofNullable(current);
    }

    private void handle(UpstreamHeartbeat heartbeat) {
        if (late(heartbeat)) {
            listener.late(heartbeat);
            return;
        }
        boolean known = current != null && current.start().equals(heartbeat.start());
        boolean working = present;
        boolean resized = known && current.slots() != heartbeat.slots();
        if (current != null && !known) {
            finished.finish(current.start());
        }
        lastHeartbeatNanos = timers.nanos();
        heartbeats = known ? heartbeats + 1 : 1;
        current = heartbeat;
        present = !heartbeat.leaving();
        if (present && !(known && working)) {
            listener.arrived(heartbeat, heartbeats);
        } else if (working && !present) {
            listener.leaving(heartbeat, LeavingAnnouncement.HEARTBEAT);
        } else if (present && resized) {
            listener.resized(heartbeat);
        }
    }

    private boolean late(UpstreamHeartbeat heartbeat) {
        if (finished.covers(heartbeat.start(), timers.nanos())) {
            return true;
        }
        if (current == null) {
            return false;
        }
        if (current.start().equals(heartbeat.start())) {
            return heartbeat.sequence() <= current.sequence();
        }
        // A start under another id that is older, or whose start time is unknown, must wait until the current start is
        // silent. Such a start is accepted then, since the clock of its machine may have been set back.
        boolean mustYield = heartbeat.id().equals(current.id()) || !silent();
        return mustYield && (heartbeat.start().startedBefore(current.start()) || omitsStartTime(heartbeat));
    }

    private boolean omitsStartTime(UpstreamHeartbeat heartbeat) {
        return heartbeat.start().startedMillis().isEmpty()
                && current.start().startedMillis().isPresent();
    }

    private void finish(UpstreamStart gone, LeavingAnnouncement announcement) {
        if (current == null || !current.id().equals(gone.id())) {
            finishOther(gone);
            return;
        }
        if (gone.startedBefore(current.start())) {
            return;
        }
        finished.finish(current.start());
        finished.finish(gone);
        if (present) {
            present = false;
            listener.leaving(current, announcement);
        }
    }

    private void finishOther(UpstreamStart gone) {
        if (gone.startedMillis().isPresent()) {
            finished.finish(gone);
        } else {
            finished.finishWithoutHeartbeat(gone.id(), timers.nanos() + silentNanos);
        }
    }

    private boolean silent() {
        return timers.nanos() - lastHeartbeatNanos > silentNanos;
    }

    private void checkSilence() {
        if (present && silent()) {
            present = false;
            listener.silent(current, timers.nanos() - lastHeartbeatNanos);
        }
    }

    /**
     * Handles changes of the upstream.
     */
    public interface Listener {
        /**
         * Called when an upstream may get work.
         *
         * @param heartbeat the heartbeat of the upstream
         * @param heartbeats how many heartbeats of this start of the upstream have been accepted, with this one
         */
        void arrived(UpstreamHeartbeat heartbeat, long heartbeats);

        /**
         * Called when an upstream that gets work announces another number of slots than before.
         *
         * @param heartbeat the heartbeat of the upstream
         */
        void resized(UpstreamHeartbeat heartbeat);

        /**
         * Called when the upstream must get no more work; it finishes its work in progress.
         *
         * @param heartbeat the newest heartbeat of the upstream
         * @param announcement how the upstream announced it
         */
        void leaving(UpstreamHeartbeat heartbeat, LeavingAnnouncement announcement);

        /**
         * Called when no heartbeat of the upstream was received for too long.
         *
         * @param heartbeat the newest heartbeat of the upstream
         * @param silentNanos for how long, in nanoseconds
         */
        void silent(UpstreamHeartbeat heartbeat, long silentNanos);

        /**
         * Called when nothing listens any more at the address of the upstream.
         *
         * @param heartbeat the newest heartbeat of the upstream
         */
        void absent(UpstreamHeartbeat heartbeat);

        /**
         * Called when a heartbeat came too late to be accepted.
         *
         * @param heartbeat the heartbeat
         */
        void late(UpstreamHeartbeat heartbeat);
    }
}
