package org.verbenadyke.kernel.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers the starts of the upstream beside a node that are over, so that a heartbeat which was held up on the way
 * revives none of them. A later start under the same id isn't over.
 */
final class FinishedStarts {
    /** Ids that are remembered; an upstream is replaced a few times a day at most. */
    private static final int IDS_MOST = 1_000;

    private final Map<String, Finished> byId = new LinkedHashMap<>();

    private FinishedStarts() {}

    static FinishedStarts none() {
        return new FinishedStarts();
    }

    /** Notes that a start and all earlier ones under its id are over. */
    void finish(UpstreamStart start) {
        put(start.id(), new Finished(latest(find(start.id()).newestBorn(), start.startedMillis()), Long.MIN_VALUE));
    }

    /**
     * Notes that an id's start is over of which no heartbeat was heard, so that the time of its start isn't known. Any
     * start under the id counts as that one until some time, which is longer than a heartbeat is usually held up.
     */
    void finishUnheard(String id, long untilNanos) {
        if (!byId.containsKey(id)) {
            put(id, new Finished(OptionalLong.empty(), untilNanos));
        }
    }

    /** Tells whether a start is over; one that doesn't say when it was is, once any start under its id is over. */
    boolean covers(UpstreamStart start, long nowNanos) {
        Finished finished = byId.get(start.id());
        if (finished == null) {
            return false;
        }
        if (start.startedMillis().isEmpty()) {
            return true;
        }
        if (nowNanos < finished.unheardUntilNanos()) {
            finish(start);
            return true;
        }
        OptionalLong newest = finished.newestBorn();
        return newest.isPresent() && start.startedMillis().getAsLong() <= newest.getAsLong();
    }

    private Finished find(String id) {
        return byId.getOrDefault(id, Finished.NOTHING);
    }

    private void put(String id, Finished finished) {
        if (byId.size() >= IDS_MOST && !byId.containsKey(id)) {
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
     * What is over under one id.
     *
     * @param newestBorn when the newest start that is over was, in milliseconds since the epoch, if known
     * @param unheardUntilNanos until when any start counts as the one of which nothing was heard
     */
    private record Finished(OptionalLong newestBorn, long unheardUntilNanos) {
        private static final Finished NOTHING = new Finished(OptionalLong.empty(), Long.MIN_VALUE);
    }
}
