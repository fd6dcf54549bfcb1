package org.verbenadyke.bench.lab;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * One server of the lab: a node and the upstream beside it, which may be replaced.
 */
final class LabServer {
    private final String id;
    private final ServiceSpec spec;
    private final Endpoint endpoint;
    private final Location place;
    private LabNode node;
    private FakeUpstream upstream;
    private boolean leaving;
    private long upSinceNanos;

    LabServer(String id, ServiceSpec spec, Endpoint endpoint, Location place) {
        this.id = id;
        this.spec = spec;
        this.endpoint = endpoint;
        this.place = place;
    }

    void run(LabNode newNode, FakeUpstream newUpstream, long nowNanos) {
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

    Location place() {
        return place;
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

    void leaving(boolean now) {
        leaving = now;
    }

    boolean leaving() {
        return leaving;
    }

    long upSinceNanos() {
        return upSinceNanos;
    }
}
