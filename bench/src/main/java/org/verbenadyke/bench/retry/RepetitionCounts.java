package org.verbenadyke.bench.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Counts, at the upstreams, the arrivals that repeat an earlier one, and compares them in each window with the requests
 * that callers sent for the service. A call of a repeated run is itself a repetition. Thread-safe.
 */
public final class RepetitionCounts {
    private static final long STEP_NANOS = 250_000_000L;

    private final Map<String, List<Long>> requests = new HashMap<>();
    private final Map<String, List<Long>> repetitions = new HashMap<>();
    private final Set<String> arrived = new HashSet<>();
    private final Set<String> calledByRepetitions = new HashSet<>();

    private RepetitionCounts() {}

    /**
     * Creates counts without any request.
     *
     * @return the counts
     */
    public static RepetitionCounts empty() {
        return new RepetitionCounts();
    }

    /**
     * Records a request of a caller.
     *
     * @param service the service that it is for
     * @param now the time, in nanoseconds; not before that of an earlier record
     */
    public synchronized void requested(String service, long now) {
        requests.computeIfAbsent(service, s -> new ArrayList<>()).add(now);
    }

    /**
     * Records an arrival at an upstream.
     *
     * @param service the service of the upstream
     * @param call identifies the call, in all its attempts
     * @param now the time, in nanoseconds; not before that of an earlier record
     * @return whether the arrival is a repetition
     */
    public synchronized boolean arrived(String service, String call, long now) {
        boolean repeated = !arrived.add(call) || calledByRepetitions.contains(call);
        if (repeated) {
            repetitions.computeIfAbsent(service, s -> new ArrayList<>()).add(now);
        }
        return repeated;
    }

    /**
     * Records that a repeated run makes a call.
     *
     * @param call identifies the call
     */
    public synchronized void calledByRepetition(String call) {
        calledByRepetitions.add(call);
    }

    /**
     * Returns the window of a service in which its repetitions come nearest to what is allowed, or exceed it most.
     *
     * @param service the service
     * @param allowance what is allowed
     * @return the window, empty if there was no repetition
     */
    public Optional<Window> worst(String service, Allowance allowance) {
        return windows(service, allowance).stream().max(Comparator.comparingDouble(Window::excess));
    }

    /**
     * Returns the window of a service with most repetitions.
     *
     * @param service the service
     * @param allowance what is allowed
     * @return the window, empty if there was no repetition
     */
    public Optional<Window> busiest(String service, Allowance allowance) {
        return windows(service, allowance).stream().max(Comparator.comparingInt(Window::repetitions));
    }

    /** Lists the windows of a service; each begins a quarter of a second after the one before. */
    private synchronized List<Window> windows(String service, Allowance allowance) {
        List<Long> repeated = repetitions.getOrDefault(service, List.of());
        List<Long> requested = requests.getOrDefault(service, List.of());
        List<Window> windows = new ArrayList<>();
        if (repeated.isEmpty()) {
            return windows;
        }
        long length = allowance.windowNanos();
        for (long from = repeated.getFirst() - length; from <= repeated.getLast(); from += STEP_NANOS) {
            int sent = Math.max(
                    count(requested, from, length),
                    Math.max(count(requested, from - length / 2, length), count(requested, from - length, length)));
            double allowed = allowance.ratio() * sent + allowance.slack();
            windows.add(new Window(from, count(repeated, from, length), sent, allowed));
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
            int middle = (low + high) >>> 1;
            if (times.get(middle) < at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /**
     * What is allowed.
     *
     * @param ratio repetitions allowed per request
     * @param windowNanos the length of a window, in nanoseconds
     * @param slack repetitions allowed beyond that
     */
    public record Allowance(double ratio, long windowNanos, double slack) {}

    /**
     * One window of a service.
     *
     * @param fromNanos when it begins, in nanoseconds
     * @param repetitions the arrivals that were repetitions
     * @param requests the requests of callers in this window, the one half a window earlier or the one before,
     *     whichever has most
     * @param allowed the repetitions that are allowed
     */
    public record Window(long fromNanos, int repetitions, int requests, double allowed) {
        /**
         * Returns by how much the repetitions exceed what is allowed.
         *
         * @return the excess, negative while there is none
         */
        public double excess() {
            return repetitions - allowed;
        }
    }
}
