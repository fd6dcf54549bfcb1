package org.verbenadyke.kernel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration in force after the log was read up to a place. The same on every node that read as far.
 *
 * @param configuration the configuration in force
 * @param offset the offset of the last entry taken into account, -1 before the first
 * @param decisions what became of the latest changes, oldest first
 */
public record ConfigState(Configuration configuration, long offset, List<Decision> decisions) {
    private static final int DECISIONS_MOST = 16;

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
     * Takes the next entry into account. Of two changes with the same base, the one that stands first on the log wins;
     * a change that stands there twice counts once.
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
        List<Decision> kept = all.subList(Math.max(0, all.size() - DECISIONS_MOST), all.size());
        return new ConfigState(wins ? change.result() : configuration, at, List.copyOf(kept));
    }

    /**
     * Finds out what became of a change.
     *
     * @param id the change
     * @return the decision, if it was among the latest
     */
    public Optional<Decision> decision(String id) {
        return decisions.stream().filter(d -> d.id().equals(id)).findFirst();
    }

    /**
     * What became of a change.
     *
     * @param id the change
     * @param tookEffect whether it took effect
     * @param version the version it made, or the one in force that it lost against
     * @param author who confirmed it
     * @param atMillis when, in milliseconds since the epoch
     */
    public record Decision(String id, boolean tookEffect, long version, String author, long atMillis) {}
}
