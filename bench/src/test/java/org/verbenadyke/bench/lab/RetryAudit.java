package org.verbenadyke.bench.lab;

import java.util.function.Function;

import org.verbenadyke.bench.retry.RepetitionCounts;

/**
 * Counts the repetitions that reach the upstreams of a fleet, and decides what becomes of each run.
 */
final class RetryAudit {
    private final RepetitionCounts counts = RepetitionCounts.empty();
    private Function<String, FleetUpstream.Outcome> faults = service -> FleetUpstream.Outcome.ANSWERED;
    private long calls;

    /** Sets what becomes of the runs at a service. */
    void setFaults(Function<String, FleetUpstream.Outcome> outcomes) {
        faults = outcomes;
    }

    /** Returns the counts. */
    RepetitionCounts counts() {
        return counts;
    }

    /** Records an arrival at an upstream. */
    Run arrived(String service, String path, long now) {
        return new Run(counts.arrived(service, path, now), faults.apply(service));
    }

    /** Returns the path of a call that a run makes. */
    String pathOfCall(FleetOperation operation, Run caller) {
        String path = "/" + operation.name() + "/call-" + calls++;
        if (caller.repeated()) {
            counts.calledByRepetition(path);
        }
        return path;
    }

    /**
     * One run of a call.
     *
     * @param repeated whether the run is a repetition
     * @param outcome what becomes of it
     */
    record Run(boolean repeated, FleetUpstream.Outcome outcome) {}
}
