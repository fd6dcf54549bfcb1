package org.verbenadyke.kernel.config;

import java.util.List;
import java.util.Set;

import org.verbenadyke.kernel.call.Importance;

/**
 * One immutable version of the configuration that operators set.
 *
 * @param version rises by one with each confirmed change; 0 before the first
 * @param retries the number of retries that the whole call chain of a request may make
 * @param rules the rules that determine the importance of requests; the first that matches applies
 * @param leaving ids or names of upstreams that must not get new work
 */
public record Configuration(long version, int retries, List<ImportanceRule> rules, Set<String> leaving) {
    /** Maximum number of retries that can be configured. */
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
     * Returns the importance of a request.
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
