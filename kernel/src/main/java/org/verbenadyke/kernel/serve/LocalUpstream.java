package org.verbenadyke.kernel.serve;

import java.util.concurrent.atomic.AtomicBoolean;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The colocated upstream, as it announced itself.
 */
public final class LocalUpstream {
    private final String id;
    private final String service;
    private final UpstreamPort port;
    private final Gate gate;
    private final KeyTable keys;
    private final TimerService timers;
    private final AtomicBoolean leavingNoticed;
    private volatile long acceptingSinceNanos;
    private volatile boolean draining;
    private volatile long drainingSinceNanos;

    private LocalUpstream(
            String id,
            String service,
            UpstreamPort port,
            Gate gate,
            KeyTable keys,
            TimerService timers,
            AtomicBoolean leavingNoticed) {
        this.id = id;
        this.service = service;
        this.port = port;
        this.gate = gate;
        this.keys = keys;
        this.timers = timers;
        this.leavingNoticed = leavingNoticed;
        this.acceptingSinceNanos = timers.nanos();
    }

    /**
     * Creates an upstream that accepts calls.
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
        return new LocalUpstream(id, service, port, gate, keys, timers, new AtomicBoolean());
    }

    /**
     * Returns the same upstream under a new id.
     *
     * @param newId the id
     * @return the upstream, with the same gate and keys
     */
    public LocalUpstream withId(String newId) {
        LocalUpstream renamed = new LocalUpstream(newId, service, port, gate, keys, timers, leavingNoticed);
        renamed.draining = draining;
        return renamed;
    }

    /**
     * Returns the id.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Returns the service.
     *
     * @return the service
     */
    public String service() {
        return service;
    }

    /**
     * Returns the connection to the upstream.
     *
     * @return the port
     */
    public UpstreamPort port() {
        return port;
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
        return draining;
    }

    /**
     * Returns whether the upstream is draining and was so before a given time.
     *
     * @param nanos the time
     * @return whether a call that arrived at that time must not be handed over
     */
    public boolean drainingBefore(long nanos) {
        return draining && drainingSinceNanos < nanos;
    }

    /**
     * Starts or ends draining.
     *
     * @param enabled whether new calls are refused
     */
    public void drain(boolean enabled) {
        if (enabled && !draining) {
            drainingSinceNanos = timers.nanos();
        }
        if (!enabled && draining) {
            acceptingSinceNanos = timers.nanos();
        }
        boolean begins = enabled && !draining;
        draining = enabled;
        if (begins) {
            gate.flush();
        }
    }

    /**
     * Records that the upstream stated in an answer that it is leaving.
     *
     * @return whether that is new
     */
    boolean recordLeavingNotice() {
        return leavingNoticed.compareAndSet(false, true);
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
