package org.verbenadyke.kernel.routing;

import java.util.Set;

/**
 * A call to be routed.
 *
 * @param service the service it calls
 * @param pathClass the class of calls whose admission levels apply
 * @param rank its admission rank
 * @param key its idempotency key, empty if none; a keyed call goes to the key's owner
 * @param avoid ids of upstreams tried before, excluded as long as there are others
 * @param timeLeftNanos the time left until its due time, in nanoseconds; negative when that has passed
 */
public record RouteQuery(
        String service, String pathClass, int rank, String key, Set<String> avoid, long timeLeftNanos) {}
