package org.verbenadyke.kernel.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ImportanceRule;

/**
 * Describes the differences between two configurations.
 */
public final class Differences {
    private Differences() {}

    /**
     * Compares two configurations.
     *
     * @param from the old configuration
     * @param to the new configuration
     * @return one line for each difference; what is removed comes first
     */
    public static List<String> between(Configuration from, Configuration to) {
        List<String> lines = new ArrayList<>();
        if (from.retries() != to.retries()) {
            lines.add("retries per chain: " + from.retries() + " -> " + to.retries());
        }
        for (ImportanceRule rule : from.rules()) {
            if (!to.rules().contains(rule)) {
                lines.add("- rule " + describe(rule));
            }
        }
        for (ImportanceRule rule : to.rules()) {
            if (!from.rules().contains(rule)) {
                lines.add("+ rule " + describe(rule));
            }
        }
        for (String node : new TreeSet<>(from.leaving())) {
            if (!to.leaving().contains(node)) {
                lines.add("returns: " + node);
            }
        }
        for (String node : new TreeSet<>(to.leaving())) {
            if (!from.leaving().contains(node)) {
                lines.add("leaves: " + node);
            }
        }
        return lines;
    }

    /**
     * Formats a rule.
     *
     * @param rule the rule
     * @return service, method, path and importance
     */
    public static String describe(ImportanceRule rule) {
        return rule.service() + " " + rule.method() + " " + rule.pathPrefix() + " "
                + rule.importance().name().toLowerCase(Locale.ROOT);
    }
}
