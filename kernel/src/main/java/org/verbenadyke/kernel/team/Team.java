package org.verbenadyke.kernel.team;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A group of callers that share API keys, a priority and a rate limit.
 *
 * @param name its name
 * @param priority its priority, 0 being the most important; takes precedence over the route's. Empty if it has none
 * @param limit its rate limit over all nodes together; empty if there is none
 */
public record Team(String name, OptionalInt priority, Optional<RateLimit> limit) {
    /**
     * Creates a team without a priority or a limit.
     *
     * @param name its name
     * @return the team
     */
    public static Team named(String name) {
        return new Team(name, OptionalInt.empty(), Optional.empty());
    }
}
