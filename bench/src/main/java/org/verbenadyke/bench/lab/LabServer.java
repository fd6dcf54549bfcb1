package org.verbenadyke.bench.lab;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * One emulated server: a node and its colocated upstream, either of which may be replaced.
 */
final class LabServer {
    private final String id;
    private final ServiceSpec spec;
    private final Endpoint endpoint;
    private final Location location;
    private LabNode node;
    private FakeUpstream upstream;
    private boolean leaving;
    private long upSinceNanos;

    LabServer(String id, ServiceSpec spec, Endpoint endpoint, Location place) {
        this.id = id;
        this.spec = spec;
        this.endpoint = endpoint;
        this.location = place;
    }

    void setProcesses(LabNode newNode, FakeUpstream newUpstream, long nowNanos) {
        node = newNode;
        upstream = newUpstream;
        leaving = false;
        upSinceNanos = nowNanos;
    }

    String id() {
        return id;
    }

    ServiceSpec spec() {
        return spec;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Location location() {
        return location;
    }

    LabNode node() {
        return node;
    }

    FakeUpstream upstream() {
        return upstream;
    }

    boolean up() {
        return node != null && !node.process().killed();
    }

    boolean working() {
        return up() && !node.process().paused() && !leaving;
    }

    void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    boolean leaving() {
        return leaving;
    }

    long upSinceNanos() {
        return upSinceNanos;
    }
}
