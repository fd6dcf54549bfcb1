package org.verbenadyke.kernel.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * The crashes known of one request. Immutable; merging is idempotent and independent of order, as a crash once cleared
 * stays cleared.
 */
final class Suspect {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How far apart the observations of one crash may be, in nanoseconds: less than an upstream takes to start. */
    private static final long SAME_CRASH_NANOS = 1_000_000_000L;

    private final RequestDigest request;
    private final Map<String, UpstreamCrash> crashes;

    private Suspect(RequestDigest request, Map<String, UpstreamCrash> crashes) {
        this.request = request;
        this.crashes = crashes;
    }

    /** Creates a suspect without crashes. */
    static Suspect of(RequestDigest request) {
        return new Suspect(request, Map.of());
    }

    RequestDigest request() {
        return request;
    }

    /** Returns this suspect with one merged crash, or this suspect itself if the crash is already known. */
    Suspect with(UpstreamCrash crash) {
        UpstreamCrash known = crashes.get(crash.upstream());
        if (known != null && (known.cleared() || !crash.cleared())) {
            return this;
        }
        Map<String, UpstreamCrash> merged = new HashMap<>(crashes);
        merged.put(crash.upstream(), known == null ? crash : known.asCleared());
        return new Suspect(request, Map.copyOf(merged));
    }

    /**
     * Returns a crash that was observed here now. An upstream that keeps its id over its starts can crash several
     * times; observations that are close together are of one crash.
     */
    UpstreamCrash observed(String upstream, long nowNanos) {
        String id = upstream;
        for (int i = 1; isEarlierCrash(id, nowNanos); i++) {
            id = upstream + "/" + i;
        }
        return new UpstreamCrash(request, id, false, nowNanos, "");
    }

    private boolean isEarlierCrash(String id, long nowNanos) {
        UpstreamCrash known = crashes.get(id);
        return known != null && nowNanos - known.crashedNanos() > SAME_CRASH_NANOS;
    }

    Collection<UpstreamCrash> crashes() {
        return crashes.values();
    }

    /** Returns the number of crashes that have not been cleared. */
    int unclearedCrashes() {
        return (int) crashes.values().stream().filter(e -> !e.cleared()).count();
    }

    /** Returns whether this node observed one of the crashes itself. */
    boolean observedLocally() {
        return crashes.values().stream().anyMatch(e -> e.reportedBy().isEmpty());
    }

    /** Returns the time of the newest uncleared crash. */
    long newestUnclearedNanos() {
        return crashes.values().stream()
                .filter(e -> !e.cleared())
                .mapToLong(UpstreamCrash::crashedNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns until when a quarantined request is refused without a trial. */
    long quarantinedUntilNanos(QuarantineSettings settings) {
        return newestUnclearedNanos() + settings.quarantineNanosAfter(unclearedCrashes());
    }

    long newestNanos() {
        return crashes.values().stream()
                .mapToLong(UpstreamCrash::crashedNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** Returns a hash that is equal on all nodes that know the same crashes. */
    long fingerprint() {
        return crashes.values().stream()
                .mapToLong(e -> Rendezvous.hash(e.upstream(), e.request() + (e.cleared() ? "-" : "+")))
                .sum();
    }

    /** Describes the uncleared crashes. */
    String evidence(long nowNanos) {
        return crashes.values().stream()
                .filter(e -> !e.cleared())
                .map(e -> e.upstream() + " " + (nowNanos - e.crashedNanos()) / NANOS_PER_MILLI + " ms ago, "
                        + (e.reportedBy().isEmpty() ? "seen here" : "told by " + e.reportedBy()))
                .sorted()
                .collect(Collectors.joining("; "));
    }
}
