package org.verbenadyke.bench.lab;

import java.util.EnumSet;
import java.util.Set;

/**
 * One randomised run.
 *
 * @param seed makes the run the same each time
 * @param seconds how long demand and faults last, in virtual seconds
 * @param requestsPerSecond the mean demand
 * @param kinds the kinds of fault to provoke
 */
public record SoakSettings(long seed, int seconds, int requestsPerSecond, Set<FaultKind> kinds) {
    /**
     * Returns the settings with every kind of fault.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings all(long seed, int seconds, int requestsPerSecond) {
        return new SoakSettings(seed, seconds, requestsPerSecond, EnumSet.allOf(FaultKind.class));
    }
}
