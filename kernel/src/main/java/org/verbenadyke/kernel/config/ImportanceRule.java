package org.verbenadyke.kernel.config;

import org.verbenadyke.kernel.call.Importance;

/**
 * Says how much certain requests matter. The first rule that matches decides.
 *
 * @param service the service called, or {@code *}
 * @param method the HTTP method, or {@code *}
 * @param pathPrefix what the path must begin with
 * @param importance how much they matter
 */
public record ImportanceRule(String service, String method, String pathPrefix, Importance importance) {
    private static final String ANY = "*";

    /**
     * Tells whether a request matches.
     *
     * @param requestService the service called
     * @param requestMethod the HTTP method
     * @param path the path
     * @return whether the rule decides on it
     */
    public boolean matches(String requestService, String requestMethod, String path) {
        return (service.equals(ANY) || service.equals(requestService))
                && (method.equals(ANY) || method.equals(requestMethod))
                && path.startsWith(pathPrefix);
    }

    /**
     * Tells whether every request that another rule matches is matched by this one too.
     *
     * @param other the other rule
     * @return whether a later rule of that kind never decides
     */
    public boolean covers(ImportanceRule other) {
        return (service.equals(ANY) || service.equals(other.service))
                && (method.equals(ANY) || method.equals(other.method))
                && other.pathPrefix.startsWith(pathPrefix);
    }
}
