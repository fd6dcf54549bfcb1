package org.verbenadyke.kernel.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds routes by host and longest path prefix, in time proportional to the depth of the path.
 */
final class RouteIndex {
    private final Map<String, Map<String, Route>> byHost;

    private RouteIndex(Map<String, Map<String, Route>> byHost) {
        this.byHost = byHost;
    }

    static RouteIndex of(List<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route r : routes) {
            byHost.computeIfAbsent(r.host(), h -> new HashMap<>()).put(r.prefix(), r);
        }
        return new RouteIndex(byHost);
    }

    Optional<Route> find(String host, String path) {
        Map<String, Route> prefixes = byHost.get(withoutPort(host));
        if (prefixes == null) {
            return Optional.empty();
        }
        int query = path.indexOf('?');
        int end = path.lastIndexOf('/', query < 0 ? path.length() : query);
        while (end >= 0) {
            Route route = prefixes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 || host.indexOf(']') > colon ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
