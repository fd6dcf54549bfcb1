package org.verbenadyke.kernel.team;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates a list of teams. No reported problem contains a key.
 */
public final class TeamCheck {
    /** Maximum rate and burst: a higher limit is a typing error, and rounding its sums loses whole requests. */
    private static final double MAX_LIMIT = 1e9;

    private TeamCheck() {}

    /**
     * Checks teams.
     *
     * @param entries the teams
     * @return a sentence for each problem; empty when the teams are valid
     */
    public static List<String> problems(List<TeamEntry> entries) {
        List<String> problems = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Map<KeyDigest, String> holders = new HashMap<>();
        for (TeamEntry e : entries) {
            String name = e.team().name();
            if (!names.add(name)) {
                problems.add("Team " + name + " is listed twice; merge the entries.");
            }
            for (KeyDigest k : e.keys()) {
                String other = holders.putIfAbsent(k, name);
                if (other != null && !other.equals(name)) {
                    problems.add("Teams " + other + " and " + name + " share a key; give each a key of its own.");
                }
            }
            e.team().limit().ifPresent(l -> check(name, l, problems));
        }
        return problems;
    }

    private static void check(String name, RateLimit limit, List<String> problems) {
        if (!inRange(limit.perSecond())) {
            problems.add("Team " + name + " has a rate out of range; set it from 0 to a billion a second.");
        }
        if (!inRange(limit.burst())) {
            problems.add("Team " + name + " has a burst out of range; set it from 0 to a billion requests.");
        }
    }

    private static boolean inRange(double value) {
        return value >= 0 && value <= MAX_LIMIT;
    }
}
