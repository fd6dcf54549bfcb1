package org.verbenadyke.kernel.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * All that is known against one request. Immutable; merging is idempotent and independent of order, as an end that was
 * cleared stays so.
 */
final class Suspect {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RequestDigest request;
    private final Map<String, UpstreamCrash> ends;

    private Suspect(RequestDigest request, Map<String, UpstreamCrash> ends) {
        this.request = request;
        this.ends = ends;
    }

    /** Creates a suspect against which nothing is known yet. */
    static Suspect of(RequestDigest request) {
        return new Suspect(request, Map.of());
    }

    RequestDigest request() {
        return request;
    }

    /** Returns this suspect with one more end, itself if that is no news. */
    Suspect with(UpstreamCrash end) {
        UpstreamCrash known = ends.get(end.upstream());
        if (known != null && (known.cleared() || !end.cleared())) {
            return this;
        }
        Map<String, UpstreamCrash> more = new HashMap<>(ends);
        more.put(end.upstream(), known == null ? end : known.clear());
        return new Suspect(request, Map.copyOf(more));
    }

    Collection<UpstreamCrash> ends() {
        return ends.values();
    }

    /** Returns how many ends nothing has explained otherwise. */
    int standing() {
        return (int) ends.values().stream().filter(e -> !e.cleared()).count();
    }

    /** Tells whether this node saw one of the ends itself. */
    boolean seenHere() {
        return ends.values().stream().anyMatch(e -> e.reportedBy().isEmpty());
    }

    /** Returns the time of the newest end of those. */
    long newestStandingNanos() {
        return ends.values().stream()
                .filter(e -> !e.cleared())
                .mapToLong(UpstreamCrash::atNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    long newestNanos() {
        return ends.values().stream().mapToLong(UpstreamCrash::atNanos).max().orElse(Long.MIN_VALUE);
    }

    /** Returns a hash that is the same on all nodes that know the same. */
    long fingerprint() {
        return ends.values().stream()
                .mapToLong(e -> Rendezvous.hash(e.upstream(), e.request() + (e.cleared() ? "-" : "+")))
                .sum();
    }

    /** Words what stands against the request. */
    String evidence(long nowNanos) {
        return ends.values().stream()
                .filter(e -> !e.cleared())
                .map(e -> e.upstream() + " " + (nowNanos - e.atNanos()) / NANOS_PER_MILLI + " ms ago, "
                        + (e.reportedBy().isEmpty() ? "seen here" : "told by " + e.reportedBy()))
                .sorted()
                .collect(Collectors.joining("; "));
    }
}
