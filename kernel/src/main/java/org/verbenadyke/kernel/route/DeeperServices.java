package org.verbenadyke.kernel.route;

import java.util.OptionalDouble;
import java.util.Set;

/**
 * What a node knows about the services that requests lead to behind the service that they call. Thread-safe.
 */
public interface DeeperServices {
    /**
     * Returns the services that a class of requests leads to.
     *
     * @param requests the class of requests
     * @return the names of the services, without the service called directly; empty if none is known
     */
    Set<String> reachedBy(RequestClass requests);

    /**
     * Returns the admission level of a service.
     *
     * @param service the service
     * @param nowNanos the time
     * @return the rank below which it refuses calls; 0 without a recent report
     */
    int level(String service, long nowNanos);

    /**
     * Returns the slot time that a request takes at a service behind the one it calls.
     *
     * @param requests the class of requests
     * @param service the service
     * @param nowNanos the time
     * @return the mean slot time of one request, in nanoseconds; empty if it is not known
     */
    OptionalDouble slotNanos(RequestClass requests, String service, long nowNanos);
}
