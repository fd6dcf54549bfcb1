package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Counts, at the upstreams, the arrivals that repeat an earlier one, and compares them in each window with the requests
 * that callers sent for the service. A call of a repeated run is itself a repetition.
 */
final class RetryAudit {
    private static final long STEP_NANOS = 250 * Lab.MILLI;

    private final Map<String, List<Long>> requests = new HashMap<>();
    private final Map<String, List<Long>> repetitions = new HashMap<>();
    private final Set<String> seen = new HashSet<>();
    private final Set<String> calledByRepetitions = new HashSet<>();
    private BiFunction<String, Boolean, FleetUpstream.Outcome> faults =
            (service, repeated) -> FleetUpstream.Outcome.ANSWERED;
    private long calls;

    /** Sets what becomes of the runs at a service, given whether the run is a repetition. */
    void setFaults(BiFunction<String, Boolean, FleetUpstream.Outcome> outcomes) {
        faults = outcomes;
    }

    /** Records a request of a caller. */
    void requested(String service, long now) {
        requests.computeIfAbsent(service, s -> new ArrayList<>()).add(now);
    }

    /** Records an arrival at an upstream. */
    Run arrived(String service, String path, long now) {
        boolean repeated = !seen.add(path) || calledByRepetitions.contains(path);
        if (repeated) {
            repetitions.computeIfAbsent(service, s -> new ArrayList<>()).add(now);
        }
        return new Run(repeated, faults.apply(service, repeated));
    }

    /** Returns the path of a call that a run makes. */
    String pathOfCall(FleetOperation operation, Run caller) {
        String path = "/" + operation.name() + "/call-" + calls++;
        if (caller.repeated()) {
            calledByRepetitions.add(path);
        }
        return path;
    }

    /** Returns the windows of a service, each beginning a quarter of a second after the one before. */
    List<Window> windows(String service, long lengthNanos) {
        List<Long> repeated = repetitions.getOrDefault(service, List.of());
        List<Long> requested = requests.getOrDefault(service, List.of());
        List<Window> windows = new ArrayList<>();
        if (repeated.isEmpty()) {
            return windows;
        }
        for (long from = repeated.getFirst() - lengthNanos; from <= repeated.getLast(); from += STEP_NANOS) {
            long sent = Math.max(
                    count(requested, from, lengthNanos),
                    Math.max(
                            count(requested, from - lengthNanos / 2, lengthNanos),
                            count(requested, from - lengthNanos, lengthNanos)));
            windows.add(new Window(from, count(repeated, from, lengthNanos), sent));
        }
        return windows;
    }

    private static int count(List<Long> times, long from, long length) {
        return lowerBound(times, from + length) - lowerBound(times, from);
    }

    private static int lowerBound(List<Long> times, long at) {
        int low = 0;
        int high = times.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (times.get(middle) < at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /**
     * One run of a call.
     *
     * @param repeated whether the run is a repetition
     * @param outcome what becomes of it
     */
    record Run(boolean repeated, FleetUpstream.Outcome outcome) {}

    /**
     * One window of a service.
     *
     * @param fromNanos when it begins
     * @param repetitions the arrivals that were repetitions
     * @param requests the requests of callers in this window, the one half a window earlier or the one before,
     *     whichever has most
     */
    record Window(long fromNanos, int repetitions, long requests) {
        /** Returns by how much the repetitions exceed what is allowed; negative while they don't. */
        double excess(double ratio, double slack) {
            return repetitions - ratio * requests - slack;
        }
    }
}
