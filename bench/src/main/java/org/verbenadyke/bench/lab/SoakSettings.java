package org.verbenadyke.bench.lab;

import java.util.EnumSet;
import java.util.Set;

/**
 * The settings of one randomised run.
 *
 * @param seed the random seed; the same seed repeats the run
 * @param seconds how long demand and faults last, in virtual seconds
 * @param requestsPerSecond the mean demand
 * @param kinds the kinds of fault to inject
 * @param unkeyedShare the share of the filings that are sent without a key, 0 to 1
 */
public record SoakSettings(long seed, int seconds, int requestsPerSecond, Set<FaultKind> kinds, double unkeyedShare) {
    private static final double UNKEYED_SHARE = 0.5;
    private static final EnumSet<FaultKind> NOTICES = EnumSet.of(FaultKind.RATE_LIMIT, FaultKind.LEAVING_NOTICE);

    /**
     * Returns the settings with every kind of fault, and filings with and without keys.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings all(long seed, int seconds, int requestsPerSecond) {
        return new SoakSettings(seed, seconds, requestsPerSecond, EnumSet.allOf(FaultKind.class), UNKEYED_SHARE);
    }

    /**
     * Returns the settings with every kind of fault but upstreams that state something about themselves.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings mixed(long seed, int seconds, int requestsPerSecond) {
        return new SoakSettings(seed, seconds, requestsPerSecond, EnumSet.complementOf(NOTICES), UNKEYED_SHARE);
    }

    /**
     * Returns the settings with a key on every filing and without series of crashes.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings keyed(long seed, int seconds, int requestsPerSecond) {
        Set<FaultKind> kinds = EnumSet.complementOf(NOTICES);
        kinds.removeAll(EnumSet.of(FaultKind.CRASH_NODES, FaultKind.CRASH_SERVERS));
        return new SoakSettings(seed, seconds, requestsPerSecond, kinds, 0);
    }

    /**
     * Returns the settings with upstreams that state something about themselves, while nodes and upstreams are killed,
     * paused, cut off, drained and restarted.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings notices(long seed, int seconds, int requestsPerSecond) {
        Set<FaultKind> kinds = EnumSet.copyOf(NOTICES);
        kinds.addAll(EnumSet.of(
                FaultKind.KILL,
                FaultKind.PAUSE,
                FaultKind.KILL_UPSTREAM,
                FaultKind.SILENCE,
                FaultKind.DRAIN,
                FaultKind.RESTART,
                FaultKind.CRASH_NODES,
                FaultKind.PARTITION));
        return new SoakSettings(seed, seconds, requestsPerSecond, kinds, UNKEYED_SHARE);
    }

    /**
     * Returns the settings with series of crashes as the only faults, and filings with and without keys.
     *
     * @param seed the seed
     * @param seconds the length in virtual seconds
     * @param requestsPerSecond the mean demand
     * @return the settings
     */
    public static SoakSettings crashes(long seed, int seconds, int requestsPerSecond) {
        Set<FaultKind> kinds = EnumSet.of(FaultKind.CRASH_NODES, FaultKind.CRASH_SERVERS);
        return new SoakSettings(seed, seconds, requestsPerSecond, kinds, UNKEYED_SHARE);
    }
}
