package org.verbenadyke.kernel.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The starts of the colocated upstream that are over, kept so that a delayed heartbeat revives none of them. A later
 * start under the same id isn't over.
 */
final class FinishedStarts {
    /** The number of ids kept; an upstream is replaced a few times a day at most. */
    private static final int MAX_IDS = 1_000;

    private final Map<String, Finished> byId = new LinkedHashMap<>();

    private FinishedStarts() {}

    static FinishedStarts none() {
        return new FinishedStarts();
    }

    /** Records that a start and all earlier ones under the same id are over. */
    void finish(UpstreamStart start) {
        put(
                start.id(),
                new Finished(latest(find(start.id()).newestStartedMillis(), start.startedMillis()), Long.MIN_VALUE));
    }

    /**
     * Records that a start is over of which no heartbeat was received, so that its start time isn't known. Until
     * {@code untilNanos} any start under the id counts as that one; the time must be longer than the usual delay of a
     * heartbeat.
     */
    void finishWithoutHeartbeat(String id, long untilNanos) {
        if (!byId.containsKey(id)) {
            put(id, new Finished(OptionalLong.empty(), untilNanos));
        }
    }

    /** Returns whether a start is over; a start without a start time is over once any start under its id is. */
    boolean covers(UpstreamStart start, long nowNanos) {
        Finished finished = byId.get(start.id());
        if (finished == null) {
            return false;
        }
        if (start.startedMillis().isEmpty()) {
            return true;
        }
        if (nowNanos < finished.coversAnyStartUntilNanos()) {
            finish(start);
            return true;
        }
        OptionalLong newest = finished.newestStartedMillis();
        return newest.isPresent() && start.startedMillis().getAsLong() <= newest.getAsLong();
    }

    private Finished find(String id) {
        return byId.getOrDefault(id, Finished.NOTHING);
    }

    private void put(String id, Finished finished) {
        if (byId.size() >= MAX_IDS && !byId.containsKey(id)) {
            byId.remove(byId.keySet().iterator().next());
        }
        byId.put(id, finished);
    }

    private static OptionalLong latest(OptionalLong one, OptionalLong other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        return OptionalLong.of(Math.max(one.getAsLong(), other.getAsLong()));
    }

    /**
     * The starts under one id that are over.
     *
     * @param newestStartedMillis the start time of the newest of them, in milliseconds since the epoch, if known
     * @param coversAnyStartUntilNanos until when any start counts as the one of which no heartbeat was received
     */
    private record Finished(OptionalLong newestStartedMillis, long coversAnyStartUntilNanos) {
        private static final Finished NOTHING = new Finished(OptionalLong.empty(), Long.MIN_VALUE);
    }
}
