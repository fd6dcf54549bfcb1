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
 * Turns intents into a plan.
 */
public final class ChangePlanner {
    private static final double LOAD_HIGH = 0.8;
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
     * Plans.
     *
     * @param id the plan's name
     * @param base the configuration in force
     * @param intents what is wanted
     * @param services what is known of the services
     * @return the plan
     * @throws InvalidIntentsException with every intent that is wrong
     */
    public static ChangePlan plan(String id, Configuration base, Intents intents, List<ServiceView> services) {
        return new ChangePlanner(id, base, services).plan(intents);
    }

    /**
     * Plans to go forward to what an earlier version said.
     *
     * @param id the plan's name
     * @param base the configuration in force
     * @param earlier the configuration to go back to
     * @param services what is known of the services
     * @return the plan, for a new version
     */
    public static ChangePlan undo(String id, Configuration base, Configuration earlier, List<ServiceView> services) {
        ChangePlanner planner = new ChangePlanner(id, base, services);
        return planner.toward(
                new Configuration(base.version() + 1, earlier.retries(), earlier.rules(), earlier.leaving()));
    }

    private ChangePlan plan(Intents intents) {
        int retries = intents.retries().orElse(base.retries());
        if (retries < 0 || retries > Configuration.RETRIES_MOST) {
            problem(ErrorCode.INTENT_OUT_OF_BOUNDS, "retries", retries, "0 to " + Configuration.RETRIES_MOST);
        }
        List<ImportanceRule> rules = intents.rules().orElse(base.rules());
        Set<String> known = services.stream().map(ServiceView::service).collect(Collectors.toSet());
        for (ImportanceRule rule : rules) {
            if (!rule.service().equals(ANY) && !known.contains(rule.service())) {
                problem(ErrorCode.INTENT_UNKNOWN_TARGET, "service " + rule.service());
            }
        }
        Set<String> leaving = new TreeSet<>(base.leaving());
        intents.back().forEach(node -> {
            if (!leaving.remove(node)) {
                problem(ErrorCode.INTENT_UNKNOWN_TARGET, "leaving upstream " + node);
            }
        });
        intents.leave().forEach(node -> {
            if (services.stream().noneMatch(s -> holds(s, node))) {
                problem(ErrorCode.INTENT_UNKNOWN_TARGET, "upstream " + node);
            }
            leaving.add(node);
        });
        if (!problems.isEmpty()) {
            throw InvalidIntentsException.of(problems);
        }
        return toward(new Configuration(base.version() + 1, retries, List.copyOf(rules), Set.copyOf(leaving)));
    }

    private ChangePlan toward(Configuration next) {
        List<String> differences = Differences.between(base, next);
        shadows(next.rules());
        services.forEach(s -> capacity(s, next));
        if (differences.isEmpty()) {
            consequences.add("nothing changes");
        }
        return new ChangePlan(id, base.version(), next, differences, List.copyOf(consequences), List.copyOf(risks));
    }

    private void shadows(List<ImportanceRule> rules) {
        for (int i = 0; i < rules.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (rules.get(j).covers(rules.get(i))) {
                    consequences.add("rule " + Differences.words(rules.get(i)) + " never decides: rule "
                            + Differences.words(rules.get(j)) + " stands before it and covers it");
                    break;
                }
            }
        }
    }

    private void capacity(ServiceView service, Configuration next) {
        long before = service.members().stream().filter(m -> takesWork(m, base)).count();
        long after = service.members().stream().filter(m -> takesWork(m, next)).count();
        if (before == after) {
            return;
        }
        consequences.add(service.service() + ": " + after + " of "
                + service.members().size() + " upstreams take work" + load(service, before, after));
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

    private String load(ServiceView service, long before, long after) {
        if (service.load().isEmpty() || after == 0) {
            return ", load not known";
        }
        double expected = service.load().getAsDouble() * before / after;
        String words = String.format(
                Locale.ROOT,
                ", load %d%% -> %d%%",
                Math.round(service.load().getAsDouble() * PERCENT),
                Math.round(expected * PERCENT));
        return expected > LOAD_HIGH ? words + ", more than can be carried with ease" : words;
    }

    private static Set<String> dataCentres(ServiceView service) {
        return service.members().stream()
                .map(ServiceView.Member::dataCentre)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static boolean takesWork(ServiceView.Member member, Configuration configuration) {
        return member.takesWork() && !configuration.leaving().contains(member.node());
    }

    private static boolean holds(ServiceView service, String node) {
        return service.members().stream().anyMatch(m -> m.node().equals(node));
    }

    private void problem(ErrorCode code, Object... arguments) {
        problems.add(VerbenadykeException.describe(code, arguments));
    }
}
