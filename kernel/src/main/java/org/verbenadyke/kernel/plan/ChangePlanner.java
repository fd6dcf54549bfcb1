package org.verbenadyke.kernel.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ImportanceRule;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;

/**
 * Turns intents into a change plan.
 */
public final class ChangePlanner {
    private static final double HIGH_LOAD = 0.8;
    private static final int PERCENT = 100;
    private static final String ANY = "*";

    private final String id;
    private final Configuration base;
    private final List<ServiceView> services;
    private final List<String> problems = new ArrayList<>();
    private final List<String> consequences = new ArrayList<>();
    private final List<String> risks = new ArrayList<>();

    private ChangePlanner(String id, Configuration base, List<ServiceView> services) {
        this.id = id;
        this.base = base;
        this.services = services;
    }

    /**
     * Plans a change.
     *
     * @param id the id of the plan
     * @param base the configuration in force
     * @param intents the requested changes
     * @param services the known services
     * @return the plan
     * @throws InvalidIntentsException with every problem of the intents
     */
    public static ChangePlan plan(String id, Configuration base, Intents intents, List<ServiceView> services) {
        return new ChangePlanner(id, base, services).plan(intents);
    }

    /**
     * Plans a new version with the content of an earlier one.
     *
     * @param id the id of the plan
     * @param base the configuration in force
     * @param earlier the configuration to restore
     * @param services the known services
     * @return the plan, for a new version
     */
    public static ChangePlan undo(String id, Configuration base, Configuration earlier, List<ServiceView> services) {
        ChangePlanner planner = new ChangePlanner(id, base, services);
        return planner.planFor(
                new Configuration(base.version() + 1, earlier.retries(), earlier.rules(), earlier.leaving()));
    }

    private ChangePlan plan(Intents intents) {
        int retries = intents.retries().orElse(base.retries());
        if (retries < 0 || retries > Configuration.MAX_RETRIES) {
            addProblem(ErrorCode.INTENT_OUT_OF_BOUNDS, "retries", retries, "0 to " + Configuration.MAX_RETRIES);
        }
        List<ImportanceRule> rules = intents.rules().orElse(base.rules());
        Set<String> known = services.stream().map(ServiceView::service).collect(Collectors.toSet());
        for (ImportanceRule rule : rules) {
            if (!rule.service().equals(ANY) && !known.contains(rule.service())) {
                addProblem(ErrorCode.INTENT_UNKNOWN_TARGET, "service " + rule.service());
            }
        }
        Set<String> leaving = new TreeSet<>(base.leaving());
        intents.back().forEach(node -> {
            if (!leaving.remove(node)) {
                addProblem(ErrorCode.INTENT_UNKNOWN_TARGET, "leaving upstream " + node);
            }
        });
        intents.leave().forEach(node -> {
            if (services.stream().noneMatch(s -> hasMember(s, node))) {
                addProblem(ErrorCode.INTENT_UNKNOWN_TARGET, "upstream " + node);
            }
            leaving.add(node);
        });
        if (!problems.isEmpty()) {
            throw InvalidIntentsException.of(problems);
        }
        return planFor(new Configuration(base.version() + 1, retries, List.copyOf(rules), Set.copyOf(leaving)));
    }

    private ChangePlan planFor(Configuration next) {
        List<String> differences = Differences.between(base, next);
        reportShadowedRules(next.rules());
        services.forEach(s -> reportCapacity(s, next));
        if (differences.isEmpty()) {
            consequences.add("nothing changes");
        }
        return new ChangePlan(id, base.version(), next, differences, List.copyOf(consequences), List.copyOf(risks));
    }

    private void reportShadowedRules(List<ImportanceRule> rules) {
        for (int i = 0; i < rules.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (rules.get(j).covers(rules.get(i))) {
                    consequences.add("rule " + Differences.describe(rules.get(i)) + " never applies: rule "
                            + Differences.describe(rules.get(j)) + " comes before it and matches the same requests");
                    break;
                }
            }
        }
    }

    private void reportCapacity(ServiceView service, Configuration next) {
        long before = service.members().stream().filter(m -> takesWork(m, base)).count();
        long after = service.members().stream().filter(m -> takesWork(m, next)).count();
        if (before == after) {
            return;
        }
        consequences.add(service.service() + ": " + after + " of "
                + service.members().size() + " upstreams take work" + describeLoad(service, before, after));
        for (String dataCentre : dataCentres(service)) {
            long left = service.members().stream()
                    .filter(m -> m.dataCentre().equals(dataCentre) && takesWork(m, next))
                    .count();
            if (left == 0) {
                consequences.add(service.service() + ": no upstream is left in data centre " + dataCentre);
            }
        }
        if (after == 0) {
            risks.add(VerbenadykeException.describe(
                    ErrorCode.INTENT_RISKY, "The last upstream of " + service.service() + " would leave"));
        } else if (after < before && after * 2 <= before && before > 2) {
            risks.add(VerbenadykeException.describe(
                    ErrorCode.INTENT_RISKY, "Half of the upstreams of " + service.service() + " or more would leave"));
        }
    }

    private String describeLoad(ServiceView service, long before, long after) {
        if (service.load().isEmpty() || after == 0) {
            return ", load not known";
        }
        double expected = service.load().getAsDouble() * before / after;
        String text = String.format(
                Locale.ROOT,
                ", load %d%% -> %d%%",
                Math.round(service.load().getAsDouble() * PERCENT),
                Math.round(expected * PERCENT));
        return expected > HIGH_LOAD ? text + ", which leaves little spare capacity" : text;
    }

    private static Set<String> dataCentres(ServiceView service) {
        return service.members().stream()
                .map(ServiceView.Member::dataCentre)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static boolean takesWork(ServiceView.Member member, Configuration configuration) {
        return member.takesWork() && !configuration.leaving().contains(member.node());
    }

    private static boolean hasMember(ServiceView service, String node) {
        return service.members().stream().anyMatch(m -> m.node().equals(node));
    }

    private void addProblem(ErrorCode code, Object... arguments) {
        problems.add(VerbenadykeException.describe(code, arguments));
    }
}
