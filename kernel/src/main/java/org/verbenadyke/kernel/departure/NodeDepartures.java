package org.verbenadyke.kernel.departure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The departed starts of the upstreams colocated with one node.
 *
 * @param nodeId the node's name
 * @param starts the starts, newest departure first, {@link #MAX_STARTS} at most
 */
public record NodeDepartures(String nodeId, List<DepartedStart> starts) {
    /** The number of starts kept for a node; an upstream is replaced a few times a day at most. */
    public static final int MAX_STARTS = 32;

    private static final Comparator<DepartedStart> NEWEST_FIRST = Comparator.comparingLong(
                    DepartedStart::announcedMillis)
            .reversed()
            .thenComparing(d -> d.start().id())
            .thenComparing(d -> d.start().startedMillis().isPresent());

    /**
     * Returns the departures of a node of which none is known.
     *
     * @param nodeId the node's name
     * @return no departures
     */
    public static NodeDepartures none(String nodeId) {
        return new NodeDepartures(nodeId, List.of());
    }

    /**
     * Returns the key under which the log keeps the newest record.
     *
     * @return the key
     */
    public String key() {
        return "departed-" + nodeId;
    }

    /**
     * Adds departures; the oldest ones beyond the maximum are dropped. The result doesn't depend on the order in which
     * departures are added.
     *
     * @param added the departures
     * @return all departures, this object if none is new
     */
    NodeDepartures merge(List<DepartedStart> added) {
        List<DepartedStart> merged = new ArrayList<>(starts);
        added.forEach(d -> mergeInto(merged, d));
        merged.sort(NEWEST_FIRST);
        List<DepartedStart> kept = List.copyOf(merged.subList(0, Math.min(MAX_STARTS, merged.size())));
        return kept.equals(starts) ? this : new NodeDepartures(nodeId, kept);
    }

    /** Drops the departures that were announced before a time, in milliseconds since the epoch. */
    NodeDepartures since(long millis) {
        return between(millis, Long.MAX_VALUE);
    }

    /** Drops the departures that were announced outside a span, in milliseconds since the epoch. */
    NodeDepartures between(long fromMillis, long toMillis) {
        List<DepartedStart> kept = starts.stream()
                .filter(d -> d.announcedMillis() >= fromMillis && d.announcedMillis() <= toMillis)
                .toList();
        return kept.size() == starts.size() ? this : new NodeDepartures(nodeId, kept);
    }

    private static void mergeInto(List<DepartedStart> merged, DepartedStart added) {
        for (int i = 0; i < merged.size(); i++) {
            if (merged.get(i).sameKey(added)) {
                merged.set(i, merged.get(i).merge(added));
                return;
            }
        }
        merged.add(added);
    }
}
