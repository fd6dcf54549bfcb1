package org.verbenadyke.kernel.team;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A group of callers that share API keys, a priority and a rate limit.
 *
 * @param name its name
 * @param priority its rank, 0 the most important; it goes before the route's. Empty if the team has none
 * @param limit how many requests it may send over all nodes; empty if there is no limit
 */
public record Team(String name, OptionalInt priority, Optional<RateLimit> limit) {
    /**
     * Creates a team without a priority and a limit.
     *
     * @param name its name
     * @return the team
     */
    public static Team named(String name) {
        return new Team(name, OptionalInt.empty(), Optional.empty());
    }
}
