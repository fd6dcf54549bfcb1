package org.verbenadyke.kernel.config;

import org.verbenadyke.kernel.call.Importance;

/**
 * Assigns an importance to the requests that it matches. The first rule that matches applies.
 *
 * @param service the service called, or {@code *}
 * @param method the HTTP method, or {@code *}
 * @param pathPrefix the prefix that the path must have
 * @param importance the importance of matching requests
 */
public record ImportanceRule(String service, String method, String pathPrefix, Importance importance) {
    private static final String ANY = "*";

    /**
     * Returns whether a request matches.
     *
     * @param requestService the service called
     * @param requestMethod the HTTP method
     * @param path the path
     * @return whether the rule matches it
     */
    public boolean matches(String requestService, String requestMethod, String path) {
        return (service.equals(ANY) || service.equals(requestService))
                && (method.equals(ANY) || method.equals(requestMethod))
                && path.startsWith(pathPrefix);
    }

    /**
     * Returns whether this rule matches every request that another rule matches.
     *
     * @param other the other rule
     * @return whether the other rule never applies if it comes later
     */
    public boolean covers(ImportanceRule other) {
        return (service.equals(ANY) || service.equals(other.service))
                && (method.equals(ANY) || method.equals(other.method))
                && other.pathPrefix.startsWith(pathPrefix);
    }
}
