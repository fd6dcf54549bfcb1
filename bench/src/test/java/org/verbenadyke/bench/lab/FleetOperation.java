package org.verbenadyke.bench.lab;

import java.util.Collections;
import java.util.List;

import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.ServiceShare;

/**
 * What a service of a {@link WideFleet} does for one kind of call.
 *
 * @param name the operation, and the first segment of its path
 * @param service who does it
 * @param once whether it may run at most once
 * @param workMillis the mean time it takes, without the calls below
 * @param targetMillis the latency up to which an answer is worth most
 * @param timeoutMillis the longest that its caller waits
 * @param below the operations that it calls
 * @param together whether it calls them at the same time
 */
record FleetOperation(
        String name,
        String service,
        boolean once,
        double workMillis,
        long targetMillis,
        long timeoutMillis,
        List<FleetOperation> below,
        boolean together) {
    private static final int ATTEMPTS = 2;

    static FleetOperation of(String name, String service, double workMillis, long targetMillis, long timeoutMillis) {
        return new FleetOperation(name, service, false, workMillis, targetMillis, timeoutMillis, List.of(), false);
    }

    FleetOperation calling(int times, FleetOperation other, boolean atOnce) {
        List<FleetOperation> calls = Collections.nCopies(times, other);
        return new FleetOperation(name, service, once, workMillis, targetMillis, timeoutMillis, calls, atOnce);
    }

    FleetOperation atMostOnce() {
        return new FleetOperation(name, service, true, workMillis, targetMillis, timeoutMillis, below, together);
    }

    Route route() {
        return new Route(
                name,
                "",
                "/" + name + "/",
                List.of(new ServiceShare(service, 1)),
                once ? RequestKind.NON_IDEMPOTENT : RequestKind.IDEMPOTENT,
                timeoutMillis * Lab.MILLI,
                targetMillis * Lab.MILLI,
                once ? 1 : ATTEMPTS,
                0,
                true);
    }
}
