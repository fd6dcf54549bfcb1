package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Follows the upstream beside a node by its heartbeats: which start of it is the current one, whether it leaves, and
 * when it has fallen silent. A start is known by its id and its time; under one id the later time is the newer start. A
 * heartbeat that was held up on the way changes nothing: neither an older one of the same start, nor one of a start
 * that another has replaced or that has said that it is gone.
 */
public final class UpstreamMonitor {
    private final TimerService timers;
    private final long silentNanos;
    private final Listener host;
    private final SerialExecutor serial = SerialExecutor.create();
    private final FinishedStarts over = FinishedStarts.none();
    private UpstreamHeartbeat current;
    private boolean present;
    private long heardNanos;

    private UpstreamMonitor(TimerService timers, long silentNanos, Listener host) {
        this.timers = timers;
        this.silentNanos = silentNanos;
        this.host = host;
    }

    /**
     * Starts a watch.
     *
     * @param timers the time
     * @param silentNanos after how long without a heartbeat the upstream counts as gone, in nanoseconds
     * @param host takes the changes
     * @return the watch
     */
    public static UpstreamMonitor start(TimerService timers, long silentNanos, Listener host) {
        UpstreamMonitor watch = new UpstreamMonitor(timers, silentNanos, host);
        timers.every(silentNanos / 2, () -> watch.serial.run(watch::look));
        return watch;
    }

    /**
     * Takes a heartbeat.
     *
     * @param beat the heartbeat
     */
    public void heartbeat(UpstreamHeartbeat beat) {
        serial.run(() -> take(beat));
    }

    /**
     * Takes the word of an upstream that it is gone for good, though it may still end what it has. It speaks of one
     * start only; a later one under the same id counts.
     *
     * @param gone the start that is over; without a time it is the newest that is known under the id
     */
    public void shutdownAnnounced(UpstreamStart gone) {
        serial.run(() -> end(gone));
    }

    /**
     * Takes notice that nothing listens where a start of the upstream did. It gets no work until it reports again.
     *
     * @param start the start
     */
    public void absent(UpstreamStart start) {
        serial.run(() -> {
            if (present && current.start().equals(start)) {
                present = false;
                host.absent(current);
            }
        });
    }

    /**
     * Returns the newest heartbeat that counted.
     *
     * @return the heartbeat, empty before the first
     */
    public Optional<UpstreamHeartbeat> current() {
        return Optional.ofNullable(current);
    }

    private void take(UpstreamHeartbeat beat) {
        if (late(beat)) {
            host.late(beat);
            return;
        }
        boolean known = current != null && current.start().equals(beat.start());
        boolean working = present;
        if (current != null && !known) {
            over.finish(current.start());
        }
        heardNanos = timers.nanos();
        current = beat;
        present = !beat.leaving();
        if (present && !(known && working)) {
            host.arrived(beat);
        } else if (working && !present) {
            host.leaving(beat);
        }
    }

    private boolean late(UpstreamHeartbeat beat) {
        if (over.covers(beat.start(), timers.nanos())) {
            return true;
        }
        if (current == null) {
            return false;
        }
        if (current.start().equals(beat.start())) {
            return beat.sequence() <= current.sequence();
        }
        // Another id that is older, or that leaves open how old it is, has to wait until the current start is silent.
        // It isn't kept out for ever, since the clock of its machine may have been set back.
        boolean mustYield = beat.id().equals(current.id()) || !silent();
        return mustYield && (beat.start().bornBefore(current.start()) || hidesItsBirth(beat));
    }

    private boolean hidesItsBirth(UpstreamHeartbeat beat) {
        return beat.start().startedMillis().isEmpty()
                && current.start().startedMillis().isPresent();
    }

    private void end(UpstreamStart gone) {
        if (current == null || !current.id().equals(gone.id())) {
            endOther(gone);
            return;
        }
        if (gone.bornBefore(current.start())) {
            return;
        }
        over.finish(current.start());
        over.finish(gone);
        if (present) {
            present = false;
            host.leaving(current);
        }
    }

    private void endOther(UpstreamStart gone) {
        if (gone.startedMillis().isPresent()) {
            over.finish(gone);
        } else {
            over.finishUnheard(gone.id(), timers.nanos() + silentNanos);
        }
    }

    private boolean silent() {
        return timers.nanos() - heardNanos > silentNanos;
    }

    private void look() {
        if (present && silent()) {
            present = false;
            host.silent(current, timers.nanos() - heardNanos);
        }
    }

    /**
     * Takes the changes.
     */
    public interface Listener {
        /**
         * Takes an upstream that may get work.
         *
         * @param beat its heartbeat
         */
        void arrived(UpstreamHeartbeat beat);

        /**
         * Takes notice that the upstream must get no more work; it ends what it has.
         *
         * @param beat its newest heartbeat
         */
        void leaving(UpstreamHeartbeat beat);

        /**
         * Takes notice that nothing was heard of the upstream for too long.
         *
         * @param beat its newest heartbeat
         * @param silentNanos for how long, in nanoseconds
         */
        void silent(UpstreamHeartbeat beat, long silentNanos);

        /**
         * Takes notice that nothing listens any more where the upstream did.
         *
         * @param beat its newest heartbeat
         */
        void absent(UpstreamHeartbeat beat);

        /**
         * Takes notice of a heartbeat that came too late to count.
         *
         * @param beat the heartbeat
         */
        void late(UpstreamHeartbeat beat);
    }
}
