package org.verbenadyke.kernel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration in force after the log was read up to an offset. It is the same on every node that read as far.
 *
 * @param configuration the configuration in force
 * @param offset the offset of the last applied entry, -1 before the first
 * @param decisions the outcomes of the latest changes, oldest first
 */
public record ConfigState(Configuration configuration, long offset, List<Decision> decisions) {
    private static final int MAX_DECISIONS = 16;

    /**
     * Returns the state before the first change.
     *
     * @return version 0 at offset -1
     */
    public static ConfigState initial() {
        return new ConfigState(Configuration.initial(), -1, List.of());
    }

    /**
     * Returns the version in force.
     *
     * @return the version
     */
    public long version() {
        return configuration.version();
    }

    /**
     * Applies the next entry. Of two changes with the same base version, the one that is first in the log takes effect;
     * a change that was appended twice counts once.
     *
     * @param at its offset
     * @param entry the entry
     * @return the next state
     */
    public ConfigState after(long at, ConfigEntry entry) {
        if (at <= offset || !(entry instanceof ConfigEntry.Change change)) {
            return new ConfigState(configuration, Math.max(at, offset), decisions);
        }
        if (decision(change.id()).isPresent()) {
            return new ConfigState(configuration, at, decisions);
        }
        boolean wins = change.base() == version();
        Decision decision =
                new Decision(change.id(), wins, wins ? version() + 1 : version(), change.author(), change.atMillis());
        List<Decision> all = new ArrayList<>(decisions);
        all.add(decision);
        List<Decision> kept = all.subList(Math.max(0, all.size() - MAX_DECISIONS), all.size());
        return new ConfigState(wins ? change.result() : configuration, at, List.copyOf(kept));
    }

    /**
     * Looks up the outcome of a change.
     *
     * @param id the change
     * @return the decision, empty if the change is not among the latest
     */
    public Optional<Decision> decision(String id) {
        return decisions.stream().filter(d -> d.id().equals(id)).findFirst();
    }

    /**
     * The outcome of a change.
     *
     * @param id the change
     * @param tookEffect whether it took effect
     * @param version the version it created, or the version in force that superseded it
     * @param author who confirmed it
     * @param atMillis when it was confirmed, in milliseconds since the epoch
     */
    public record Decision(String id, boolean tookEffect, long version, String author, long atMillis) {}
}
