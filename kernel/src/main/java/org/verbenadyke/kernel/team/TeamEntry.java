package org.verbenadyke.kernel.team;

import java.util.List;

/**
 * A team with its API keys, as configured by the operators.
 *
 * @param team the team
 * @param keys the digests of its API keys
 */
public record TeamEntry(Team team, List<KeyDigest> keys) {
    /**
     * Creates an entry.
     */
    public TeamEntry {
        keys = List.copyOf(keys);
    }
}
