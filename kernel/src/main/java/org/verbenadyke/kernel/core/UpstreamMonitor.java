package org.verbenadyke.kernel.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.DepartureKeeper;
import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Monitors the colocated upstream by its heartbeats: which start is the current one, whether the upstream is leaving,
 * and when it has fallen silent. A start is identified by the upstream's id and the start time; of two starts under one
 * id the one with the later time is newer. A delayed heartbeat changes nothing: neither one older than the newest of
 * the same start, nor one of a start that was replaced by another or that has announced its shutdown, be it to an
 * earlier process of this node.
 */
public final class UpstreamMonitor {
    /**
     * The number of heartbeats kept until the departures of earlier processes are known; an upstream sends one every
     * second or so.
     */
    private static final int MAX_HELD = 16;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimerService timers;
    private final long silentNanos;
    private final DepartureKeeper departures;
    private final Listener listener;
    private final SerialExecutor serial = SerialExecutor.create();
    private final FinishedStarts finished = FinishedStarts.none();
    private final Deque<UpstreamHeartbeat> held = new ArrayDeque<>();
    private boolean recovered;
    private UpstreamHeartbeat current;
    private boolean present;
    private boolean departureRecorded;
    private long lastHeartbeatNanos;
    private long heartbeats;

    private UpstreamMonitor(TimerService timers, long silentNanos, DepartureKeeper departures, Listener listener) {
        this.timers = timers;
        this.silentNanos = silentNanos;
        this.departures = departures;
        this.listener = listener;
    }

    /**
     * Starts a monitor whose knowledge ends with the process.
     *
     * @param timers the clock and timers
     * @param silentNanos after how long without a heartbeat the upstream counts as gone, in nanoseconds
     * @param listener handles the changes
     * @return the monitor
     */
    public static UpstreamMonitor start(TimerService timers, long silentNanos, Listener listener) {
        return start(timers, silentNanos, DepartureKeeper.none(), listener);
    }

    /**
     * Starts a monitor.
     *
     * @param timers the clock and timers
     * @param silentNanos after how long without a heartbeat the upstream counts as gone, in nanoseconds
     * @param departures keeps the departures of the upstream beyond the process
     * @param listener handles the changes
     * @return the monitor
     */
    public static UpstreamMonitor start(
            TimerService timers, long silentNanos, DepartureKeeper departures, Listener listener) {
        UpstreamMonitor monitor = new UpstreamMonitor(timers, silentNanos, departures, listener);
        departures.onRecovered(known -> monitor.serial.run(() -> monitor.recover(known)));
        timers.every(silentNanos / 2, () -> monitor.serial.run(monitor::checkSilence));
        return monitor;
    }

    /**
     * Handles a heartbeat.
     *
     * @param heartbeat the heartbeat
     */
    public void heartbeat(UpstreamHeartbeat heartbeat) {
        heartbeat(heartbeat, accepted -> {});
    }

    /**
     * Handles a heartbeat. One that reports that the upstream is leaving is acknowledged once that outlives this
     * process.
     *
     * @param heartbeat the heartbeat
     * @param acknowledgement called once: with true if the upstream can rely on the heartbeat, with false if it should
     *     send it again
     */
    public void heartbeat(UpstreamHeartbeat heartbeat, Consumer<Boolean> acknowledgement) {
        serial.run(() -> {
            if (recovered || heartbeat.leaving()) {
                handle(heartbeat);
            } else {
                hold(heartbeat);
            }
            if (heartbeat.leaving()) {
                departures.whenSafe(acknowledgement);
            } else {
                acknowledgement.accept(true);
            }
        });
    }

    /**
     * Handles the shutdown notice of an upstream, which may still finish its work in progress. The notice concerns one
     * start only; a later start under the same id is accepted.
     *
     * @param gone the start that is over; without a start time, the newest known under the id
     * @param announcement how the upstream announced it
     */
    public void shutdownAnnounced(UpstreamStart gone, LeavingAnnouncement announcement) {
        shutdownAnnounced(gone, announcement, accepted -> {});
    }

    /**
     * Handles the shutdown notice of an upstream, and acknowledges it once it outlives this process.
     *
     * @param gone the start that is over; without a start time, the newest known under the id
     * @param announcement how the upstream announced it
     * @param acknowledgement called once: with true if the upstream can rely on the notice, with false if it should
     *     send it again
     */
    public void shutdownAnnounced(
            UpstreamStart gone, LeavingAnnouncement announcement, Consumer<Boolean> acknowledgement) {
        serial.run(() -> {
            finish(gone, announcement);
            departures.whenSafe(acknowledgement);
        });
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

    /** Keeps a heartbeat until the departures of earlier processes are known; it may be one of them. */
    private void hold(UpstreamHeartbeat heartbeat) {
        if (held.size() == MAX_HELD) {
            held.removeFirst();
        }
        held.addLast(heartbeat);
    }

    private void recover(List<DepartedStart> known) {
        long now = timers.nanos();
        for (DepartedStart departed : known) {
            long leftNanos = silentNanos - (timers.wallMillis() - departed.announcedMillis()) * NANOS_PER_MILLI;
            // Bounded, as the wall clock may have been set since.
            finished.restore(departed, now + Math.clamp(leftNanos, 0, silentNanos));
        }
        recovered = true;
        held.forEach(this::handle);
        held.clear();
        if (present && finished.covers(current, now)) {
            present = false;
            departureRecorded = true;
            listener.leaving(current, LeavingAnnouncement.EARLIER);
        }
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
        if (present || !known) {
            departureRecorded = false;
        }
        if (!present && !departureRecorded) {
            departureRecorded = true;
            departures.record(new DepartedStart(heartbeat.start(), heartbeat.sequence(), timers.wallMillis()));
        }
        if (present && !(known && working)) {
            listener.arrived(heartbeat, heartbeats);
        } else if (working && !present) {
            listener.leaving(heartbeat, LeavingAnnouncement.HEARTBEAT);
        } else if (present) {
            listener.reported(heartbeat);
            if (resized) {
                listener.resized(heartbeat);
            }
        }
    }

    private boolean late(UpstreamHeartbeat heartbeat) {
        if (finished.covers(heartbeat, timers.nanos())) {
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
        boolean laterStart = current.start().startedBefore(gone);
        if (!departureRecorded || laterStart) {
            departureRecorded = true;
            record(laterStart ? gone : current.start());
        }
        if (present) {
            present = false;
            listener.leaving(current, announcement);
        }
    }

    private void finishOther(UpstreamStart gone) {
        if (gone.startedMillis().isPresent()) {
            finished.finish(gone);
            record(gone);
        } else if (finished.finishWithoutHeartbeat(gone.id(), timers.wallMillis(), timers.nanos() + silentNanos)) {
            record(gone);
        }
    }

    private void record(UpstreamStart gone) {
        departures.record(new DepartedStart(gone, DepartedStart.FINAL, timers.wallMillis()));
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
         * Called when an upstream that gets work has reported once more.
         *
         * @param heartbeat the heartbeat of the upstream
         */
        default void reported(UpstreamHeartbeat heartbeat) {
            // A listener that only follows changes ignores it.
        }

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
