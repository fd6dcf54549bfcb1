package org.verbenadyke.kernel.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.UpstreamStart;

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
        Finished before = find(start.id());
        OptionalLong newest = latest(before.newestStartedMillis(), start.startedMillis());
        put(start.id(), new Finished(newest, DepartedStart.FINAL, Long.MIN_VALUE, true));
    }

    /**
     * Records that a start is over of which no heartbeat was received, so that its start time isn't known. It began
     * before it was announced to be over; clocks may have been set since, so that until {@code untilNanos} any start
     * under the id counts as that one. Returns false, and changes nothing, if this process has seen a start under the
     * id end: the announcement is a repeated one.
     */
    boolean finishWithoutHeartbeat(String id, long announcedMillis, long untilNanos) {
        Finished before = find(id);
        if (!before.observed()) {
            put(id, before.withUnheardStart(announcedMillis, untilNanos));
        }
        return !before.observed();
    }

    /** Restores a departure that an earlier process of this node recorded. */
    void restore(DepartedStart departed, long untilNanos) {
        UpstreamStart start = departed.start();
        Finished before = find(start.id());
        if (start.startedMillis().isEmpty()) {
            put(start.id(), before.withUnheardStart(departed.announcedMillis(), untilNanos));
            return;
        }
        OptionalLong newest = latest(before.newestStartedMillis(), start.startedMillis());
        boolean latest = !before.newestStartedMillis().equals(newest);
        long sequence = latest ? departed.sequence() : Math.max(before.lastSequence(), departed.sequence());
        put(start.id(), new Finished(newest, sequence, before.coversAnyStartUntilNanos(), before.observed()));
    }

    /**
     * Returns whether a heartbeat is one of a start that is over; a start without a start time is over once any start
     * under its id is.
     */
    boolean covers(UpstreamHeartbeat heartbeat, long nowNanos) {
        UpstreamStart start = heartbeat.start();
        Finished finished = byId.get(start.id());
        if (finished == null) {
            return false;
        }
        if (start.startedMillis().isEmpty()) {
            return heartbeat.sequence() <= finished.lastSequence();
        }
        if (nowNanos < finished.coversAnyStartUntilNanos()) {
            finish(start);
            return true;
        }
        OptionalLong newest = finished.newestStartedMillis();
        if (newest.isEmpty() || start.startedMillis().getAsLong() > newest.getAsLong()) {
            return false;
        }
        return start.startedMillis().getAsLong() < newest.getAsLong()
                || heartbeat.sequence() <= finished.lastSequence();
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
     * @param lastSequence the number of the last heartbeat of the newest of them that is covered
     * @param coversAnyStartUntilNanos until when any start counts as the one of which no heartbeat was received
     * @param observed whether this process has seen a start under the id end
     */
    private record Finished(
            OptionalLong newestStartedMillis, long lastSequence, long coversAnyStartUntilNanos, boolean observed) {
        private static final Finished NOTHING =
                new Finished(OptionalLong.empty(), DepartedStart.FINAL, Long.MIN_VALUE, false);

        private Finished withUnheardStart(long announcedMillis, long untilNanos) {
            OptionalLong newest = latest(newestStartedMillis, OptionalLong.of(announcedMillis));
            return new Finished(newest, DepartedStart.FINAL, untilNanos, false);
        }
    }
}
