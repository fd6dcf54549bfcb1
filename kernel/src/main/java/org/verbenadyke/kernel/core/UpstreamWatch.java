package org.verbenadyke.kernel.core;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.concurrent.Serial;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Follows the upstream beside a node by its heartbeats: which start of it is the current one, whether it leaves, and
 * when it has fallen silent. A heartbeat that was held up on the way changes nothing: neither an older one of the same
 * start, nor one of a start that another has replaced or that has said that it is gone.
 */
public final class UpstreamWatch {
    /** Starts that are remembered as over; an upstream is replaced a few times a day at most. */
    private static final int OVER_MOST = 1_000;

    private final TimerService timers;
    private final long silentNanos;
    private final Host host;
    private final Serial serial = Serial.create();
    private final Set<String> over = new HashSet<>();
    private UpstreamBeat current;
    private boolean present;
    private long heardNanos;

    private UpstreamWatch(TimerService timers, long silentNanos, Host host) {
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
    public static UpstreamWatch start(TimerService timers, long silentNanos, Host host) {
        UpstreamWatch watch = new UpstreamWatch(timers, silentNanos, host);
        timers.every(silentNanos / 2, () -> watch.serial.run(watch::look));
        return watch;
    }

    /**
     * Takes a heartbeat.
     *
     * @param beat the heartbeat
     */
    public void hear(UpstreamBeat beat) {
        serial.run(() -> take(beat));
    }

    /**
     * Takes the word of an upstream that it is gone for good, though it may still end what it has.
     *
     * @param gone the start that is over, as far as the upstream says which
     */
    public void left(UpstreamStart gone) {
        serial.run(() -> {
            end(gone.id());
            if (current != null && current.id().equals(gone.id())) {
                leave();
            }
        });
    }

    /**
     * Returns the newest heartbeat that counted.
     *
     * @return the heartbeat, empty before the first
     */
    public Optional<UpstreamBeat> current() {
        return Optional.ofNullable(current);
    }

    private void take(UpstreamBeat beat) {
        boolean known = current != null && current.id().equals(beat.id());
        if (over.contains(beat.id()) || known && beat.sequence() <= current.sequence()) {
            host.late(beat);
            return;
        }
        heardNanos = timers.nanos();
        UpstreamBeat before = current;
        if (before != null && !known) {
            end(before.id());
        }
        current = beat;
        if (!known || !present) {
            present = !beat.leaving();
            if (present) {
                host.arrived(beat);
            }
        } else if (beat.leaving()) {
            leave();
        }
    }

    private void leave() {
        if (present) {
            present = false;
            host.leaving(current);
        }
    }

    private void end(String id) {
        if (over.size() >= OVER_MOST) {
            over.clear();
        }
        over.add(id);
    }

    private void look() {
        if (present && timers.nanos() - heardNanos > silentNanos) {
            present = false;
            host.silent(current, timers.nanos() - heardNanos);
        }
    }

    /**
     * Takes the changes.
     */
    public interface Host {
        /**
         * Takes an upstream that may get work.
         *
         * @param beat its heartbeat
         */
        void arrived(UpstreamBeat beat);

        /**
         * Takes notice that the upstream must get no more work; it ends what it has.
         *
         * @param beat its newest heartbeat
         */
        void leaving(UpstreamBeat beat);

        /**
         * Takes notice that nothing was heard of the upstream for too long.
         *
         * @param beat its newest heartbeat
         * @param silentNanos for how long, in nanoseconds
         */
        void silent(UpstreamBeat beat, long silentNanos);

        /**
         * Takes notice of a heartbeat that came too late to count.
         *
         * @param beat the heartbeat
         */
        void late(UpstreamBeat beat);
    }
}
