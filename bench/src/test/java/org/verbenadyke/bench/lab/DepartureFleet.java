package org.verbenadyke.bench.lab;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * A fleet of which one node records that its upstream departs, and is killed and started again.
 */
final class DepartureFleet {
    static final String UPSTREAM = "i-1";
    static final long STARTED_MILLIS = 100;

    private static final int NODES = 12;
    private static final int SLOTS = 8;
    private static final int SERVICE_MILLIS = 5;
    private static final long NEVER = Long.MAX_VALUE / 2;

    private final Lab lab;
    private final long announcedMillis;
    private final Set<LabServer> isolated = new HashSet<>();
    private Optional<Boolean> acknowledged = Optional.empty();
    private long acknowledgedAfterNanos;
    private Optional<List<DepartedStart>> recovered = Optional.empty();
    private long recoveredAfterNanos;

    private DepartureFleet(long seed) {
        this.lab = Lab.create(seed, CoreSettings.withoutConfigLog(Policy.standard()), false);
        lab.add(
                ServiceSpec.of("records", NODES, SLOTS, SERVICE_MILLIS, Operation.of("read")),
                List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3")));
        lab.startAll();
        lab.net().partition((a, b) -> isolated(a) != isolated(b));
        lab.advance(5 * Lab.SECOND);
        announcedMillis = lab.clock().wallMillis();
    }

    static DepartureFleet start(long seed) {
        return new DepartureFleet(seed);
    }

    Lab lab() {
        return lab;
    }

    /** Cuts the node off from all others, or ends that. */
    void isolate(boolean cut) {
        if (cut) {
            isolated.add(node());
        } else {
            isolated.clear();
        }
    }

    /** Records the departure, also if it is a repeated one, and lets time pass until it is acknowledged or declined. */
    void depart() {
        acknowledged = Optional.empty();
        long since = lab.clock().nanos();
        var departures = node().node().core().departures();
        departures.record(new DepartedStart(
                new UpstreamStart(UPSTREAM, OptionalLong.of(STARTED_MILLIS)), DepartedStart.FINAL, announcedMillis));
        departures.whenSafe(safe -> {
            acknowledged = Optional.of(safe);
            acknowledgedAfterNanos = lab.clock().nanos() - since;
        });
        while (acknowledged.isEmpty()) {
            lab.advance(Lab.MILLI);
        }
    }

    /** Kills the node, or all nodes, at once. */
    void kill(boolean all) {
        (all ? lab.servers() : List.of(node())).forEach(lab::crashNode);
    }

    /** Starts the killed nodes, and lets some time pass. */
    void restart(long nanos) {
        recovered = Optional.empty();
        long since = lab.clock().nanos();
        lab.servers().stream().filter(s -> s.node().process().killed()).forEach(s -> lab.restartNode(s, NEVER));
        node().node().core().departures().onRecovered(known -> {
            if (recovered.isEmpty()) {
                recoveredAfterNanos = lab.clock().nanos() - since;
            }
            recovered = Optional.of(known);
        });
        lab.advance(nanos);
    }

    boolean acknowledged() {
        return acknowledged.orElse(false);
    }

    long acknowledgedAfterNanos() {
        return acknowledgedAfterNanos;
    }

    boolean recovered() {
        return recovered.isPresent();
    }

    long recoveredAfterNanos() {
        return recoveredAfterNanos;
    }

    /** Returns whether the node that started again knows the departure. */
    boolean known() {
        return recovered.stream()
                .flatMap(List::stream)
                .anyMatch(d -> d.start().id().equals(UPSTREAM));
    }

    private LabServer node() {
        return lab.servers().get(0);
    }

    private boolean isolated(Endpoint endpoint) {
        return isolated.stream().anyMatch(s -> s.endpoint().equals(endpoint));
    }
}
