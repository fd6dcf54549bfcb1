package org.verbenadyke.kernel.cost;

import java.util.ArrayList;
import java.util.List;

/**
 * How many calls are made at each service of a part of a call chain. Calls that repeat an earlier one are left out.
 *
 * @param services the services with their numbers of calls, each service once
 */
public record CallCounts(List<ServiceCalls> services) {
    /** The maximum number of services; bounds the size of an answer. Calls at further services are left out. */
    public static final int MAX_SERVICES = 32;

    /** No calls. */
    public static final CallCounts NONE = new CallCounts(List.of());

    /**
     * Creates counts.
     *
     * @param services the services with their numbers of calls
     * @throws IllegalArgumentException if there are more than {@link #MAX_SERVICES}
     */
    public CallCounts {
        if (services.size() > MAX_SERVICES) {
            throw new IllegalArgumentException("calls at " + services.size() + " services");
        }
        services = List.copyOf(services);
    }

    /**
     * Returns the counts of a single service.
     *
     * @param service the service
     * @param calls the number of calls at it
     * @return the counts
     */
    public static CallCounts of(String service, int calls) {
        return new CallCounts(List.of(new ServiceCalls(service, calls)));
    }

    /**
     * Returns whether there are no calls.
     *
     * @return whether no service is listed
     */
    public boolean isEmpty() {
        return services.isEmpty();
    }

    /**
     * Returns the sum of these and other counts.
     *
     * @param other the other counts
     * @return the sum
     */
    public CallCounts plus(CallCounts other) {
        if (isEmpty()) {
            return other;
        }
        CallCounts sum = this;
        for (ServiceCalls added : other.services) {
            sum = sum.plus(added);
        }
        return sum;
    }

    /**
     * Returns these counts with one call more.
     *
     * @param service the service of the call
     * @return the counts
     */
    public CallCounts plusOne(String service) {
        return plus(new ServiceCalls(service, 1));
    }

    private CallCounts plus(ServiceCalls added) {
        List<ServiceCalls> sums = new ArrayList<>(services);
        for (int i = 0; i < sums.size(); i++) {
            ServiceCalls present = sums.get(i);
            if (present.service().equals(added.service())) {
                sums.set(i, new ServiceCalls(present.service(), saturatedSum(present.calls(), added.calls())));
                return new CallCounts(sums);
            }
        }
        if (sums.size() == MAX_SERVICES) {
            return this;
        }
        sums.add(added);
        return new CallCounts(sums);
    }

    private static int saturatedSum(int a, int b) {
        return b > Integer.MAX_VALUE - a ? Integer.MAX_VALUE : a + b;
    }

    /**
     * The calls at one service.
     *
     * @param service the service
     * @param calls the number of calls
     */
    public record ServiceCalls(String service, int calls) {
        /**
         * Creates the calls of a service.
         *
         * @param service the service
         * @param calls the number of calls
         * @throws IllegalArgumentException if the number is not positive
         */
        public ServiceCalls {
            if (calls <= 0) {
                throw new IllegalArgumentException(calls + " calls");
            }
        }
    }
}
