package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The upstream beside this node, as it announced itself.
 */
public final class LocalUpstream {
    private final String id;
    private final String service;
    private final UpstreamPort port;
    private final Gate gate;
    private final KeyTable keys;
    private final TimerService timers;
    private volatile long acceptingSinceNanos;
    private volatile boolean draining;
    private volatile long drainedNanos;

    private LocalUpstream(String id, String service, UpstreamPort port, Gate gate, KeyTable keys, TimerService timers) {
        this.id = id;
        this.service = service;
        this.port = port;
        this.gate = gate;
        this.keys = keys;
        this.timers = timers;
        this.acceptingSinceNanos = timers.nanos();
    }

    /**
     * Creates an upstream that takes work.
     *
     * @param id its id
     * @param service the service it serves
     * @param port the way to it
     * @param gate decides what it gets
     * @param keys the keys it owns
     * @param timers the time
     * @return the upstream
     */
    public static LocalUpstream of(
            String id, String service, UpstreamPort port, Gate gate, KeyTable keys, TimerService timers) {
        return new LocalUpstream(id, service, port, gate, keys, timers);
    }

    /**
     * Returns the same upstream under a new id.
     *
     * @param newId the id
     * @return the upstream, with the same gate and keys
     */
    public LocalUpstream withId(String newId) {
        LocalUpstream renamed = new LocalUpstream(newId, service, port, gate, keys, timers);
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
     * Returns the way to the upstream.
     *
     * @return the port
     */
    public UpstreamPort port() {
        return port;
    }

    /**
     * Returns the gate before the upstream.
     *
     * @return the gate
     */
    public Gate gate() {
        return gate;
    }

    /**
     * Returns the keys the upstream owns.
     *
     * @return the table
     */
    public KeyTable keys() {
        return keys;
    }

    /**
     * Tells whether the upstream is leaving.
     *
     * @return whether new calls are refused
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Tells whether the upstream had begun to leave at a time, and still does.
     *
     * @param nanos the time
     * @return whether what arrived then must not be handed over
     */
    public boolean drainedBefore(long nanos) {
        return draining && drainedNanos < nanos;
    }

    /**
     * Starts or ends leaving.
     *
     * @param leaving whether new calls are to be refused
     */
    public void drain(boolean leaving) {
        if (leaving && !draining) {
            drainedNanos = timers.nanos();
        }
        if (!leaving && draining) {
            acceptingSinceNanos = timers.nanos();
        }
        boolean begins = leaving && !draining;
        draining = leaving;
        if (begins) {
            gate.flush();
        }
    }

    /**
     * Returns when the upstream got its id or began to take work again.
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
