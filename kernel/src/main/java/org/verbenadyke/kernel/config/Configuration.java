package org.verbenadyke.kernel.config;

import java.util.List;
import java.util.Set;

import org.verbenadyke.kernel.call.Importance;

/**
 * What the operators decided, as one immutable version.
 *
 * @param version counts up by one with each confirmed change; 0 before the first
 * @param retries how many retries the whole chain of a request may make
 * @param rules how much requests matter; the first that matches decides
 * @param leaving ids or names of upstreams that are to get no new work
 */
public record Configuration(long version, int retries, List<ImportanceRule> rules, Set<String> leaving) {
    /** The most retries that may be allowed. */
    public static final int MAX_RETRIES = 10;

    private static final int DEFAULT_RETRIES = 2;

    /**
     * Returns the configuration before the first change.
     *
     * @return version 0
     */
    public static Configuration initial() {
        return new Configuration(0, DEFAULT_RETRIES, List.of(), Set.of());
    }

    /**
     * Finds out how much a request matters.
     *
     * @param service the service called
     * @param method the HTTP method
     * @param path the path
     * @return the importance
     */
    public Importance importance(String service, String method, String path) {
        return rules.stream()
                .filter(r -> r.matches(service, method, path))
                .findFirst()
                .map(ImportanceRule::importance)
                .orElse(Importance.NORMAL);
    }
}
