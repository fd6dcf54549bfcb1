package org.verbenadyke.kernel.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.team.TeamCheck;

/**
 * Validates a route plan. Reports all problems at once, so that an operator can fix them in one edit.
 */
public final class RoutePlanCheck {
    private RoutePlanCheck() {}

    /**
     * Checks a plan.
     *
     * @param plan the plan
     * @return a sentence for each problem; empty when the plan is valid
     */
    public static List<String> problems(RoutePlan plan) {
        List<String> problems = new ArrayList<>();
        Set<String> services = plan.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
        Set<String> seen = new HashSet<>();
        for (Route r : plan.routes()) {
            if (!seen.add(r.host() + r.prefix())) {
                problems.add("Route " + r.name() + " has the host and prefix of another route; remove one.");
            }
            checkRoute(r, services, problems);
        }
        plan.teams().ifPresent(t -> problems.addAll(TeamCheck.problems(t.entries())));
        return problems;
    }

    private static void checkRoute(Route r, Set<String> services, List<String> problems) {
        if (!r.prefix().startsWith("/") || !r.prefix().endsWith("/")) {
            problems.add("Route " + r.name() + " has the prefix " + r.prefix() + "; begin and end it with a slash.");
        }
        if (r.attempts() < 1) {
            problems.add("Route " + r.name() + " allows no attempt; allow at least one.");
        }
        if (r.timeoutNanos() <= 0) {
            problems.add("Route " + r.name() + " has no timeout; set one above zero.");
        }
        if (r.shares().stream().mapToLong(ServiceShare::weight).sum() <= 0) {
            problems.add("Route " + r.name()
                    + " has no service to send requests to; give one of its services a weight above zero.");
        }
        for (ServiceShare s : r.shares()) {
            if (!services.contains(s.service())) {
                problems.add("Route " + r.name() + " names the unknown service " + s.service() + "; add the service.");
            }
        }
    }
}
