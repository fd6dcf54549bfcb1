package org.verbenadyke.bench.lab;

import java.util.Collections;
import java.util.List;

import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.ServiceShare;

/**
 * What a service of a {@link CallerFleet} does for one kind of call.
 *
 * @param name the operation, and the first segment of its path
 * @param service the service that provides it
 * @param once whether it may run at most once
 * @param workMillis the mean time that it takes without its nested calls
 * @param targetMillis the target latency, up to which an answer counts as in time
 * @param timeoutMillis the timeout of its caller
 * @param nestedCalls the nested operations that it calls
 * @param parallel whether the nested calls run at the same time
 * @param priority the priority of its route, 0 being the most important
 */
record FleetOperation(
        String name,
        String service,
        boolean once,
        double workMillis,
        long targetMillis,
        long timeoutMillis,
        List<FleetOperation> nestedCalls,
        boolean parallel,
        int priority) {
    private static final int ATTEMPTS = 2;

    static FleetOperation of(String name, String service, double workMillis, long targetMillis, long timeoutMillis) {
        return new FleetOperation(name, service, false, workMillis, targetMillis, timeoutMillis, List.of(), false, 0);
    }

    FleetOperation calling(int times, FleetOperation other, boolean inParallel) {
        List<FleetOperation> calls = Collections.nCopies(times, other);
        return new FleetOperation(
                name, service, once, workMillis, targetMillis, timeoutMillis, calls, inParallel, priority);
    }

    FleetOperation atMostOnce() {
        return new FleetOperation(
                name, service, true, workMillis, targetMillis, timeoutMillis, nestedCalls, parallel, priority);
    }

    FleetOperation withPriority(int other) {
        return new FleetOperation(
                name, service, once, workMillis, targetMillis, timeoutMillis, nestedCalls, parallel, other);
    }

    /** Returns the class of paths of its requests from callers. */
    String pathClass() {
        return (once ? "POST" : "GET") + " /" + name;
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
                priority,
                true);
    }
}
