package org.verbenadyke.kernel.team;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of one configuration and the keys that identify their callers. Immutable; a key is looked up in constant
 * time.
 */
public final class TeamDirectory {
    private final List<TeamEntry> entries;
    private final Map<KeyDigest, Team> byKey;
    private final Map<String, Team> byName;

    private TeamDirectory(List<TeamEntry> entries, Map<KeyDigest, Team> byKey, Map<String, Team> byName) {
        this.entries = entries;
        this.byKey = byKey;
        this.byName = byName;
    }

    /**
     * Creates a directory.
     *
     * @param entries the teams
     * @return the directory
     */
    public static TeamDirectory of(List<TeamEntry> entries) {
        Map<KeyDigest, Team> byKey = new HashMap<>();
        Map<String, Team> byName = new HashMap<>();
        for (TeamEntry e : entries) {
            byName.put(e.team().name(), e.team());
            e.keys().forEach(k -> byKey.put(k, e.team()));
        }
        return new TeamDirectory(List.copyOf(entries), byKey, byName);
    }

    /**
     * Returns the teams.
     *
     * @return each team with its keys
     */
    public List<TeamEntry> entries() {
        return entries;
    }

    /**
     * Finds a team by its name.
     *
     * @param name the name
     * @return the team, empty if there is none of that name
     */
    public Optional<Team> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key's digest
     * @return the team, empty if no team holds the key
     */
    public Optional<Team> holder(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
