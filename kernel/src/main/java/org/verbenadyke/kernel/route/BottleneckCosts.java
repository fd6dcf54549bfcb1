package org.verbenadyke.kernel.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The slot times of kinds of request at the deeper service that limits them, at one time.
 *
 * @param services knows the levels of services and the slot times of requests there
 * @param nowNanos the time
 */
record BottleneckCosts(DeeperServices services, long nowNanos) {
    /**
     * The part of the largest slot time of a kind from which on another service counts as used by it. Relief of a
     * service that takes less hardly depends on the kind, however high its level is.
     */
    private static final double USED_PART = 0.1;

    /**
     * Returns the slot times that the share of a kind follows from.
     *
     * @param own the traffic of the kind
     * @param above the traffic of the kinds that the share is measured against
     * @return the slot times at the bottleneck of the kind; those of requests that don't use it are left out
     */
    ShareChange.Basis basis(KindTraffic own, Collection<KindTraffic> above) {
        Optional<String> bottleneck = bottleneck(own);
        if (bottleneck.isEmpty()) {
            return ShareChange.Basis.UNKNOWN;
        }
        double ownNanos = mean(List.of(own), bottleneck.get());
        return new ShareChange.Basis(bottleneck.get(), ownNanos, mean(above, bottleneck.get()));
    }

    /**
     * Returns the deeper service with the highest level, of those that the kind is known to take slot time at. Among
     * those of the same level, as without any overload, it is the one that takes the most slot time, so that the share
     * is known before an overload begins.
     */
    private Optional<String> bottleneck(KindTraffic own) {
        Map<String, Double> nanos = new HashMap<>();
        for (RequestClass requests : own.classes()) {
            services.reachedBy(requests).forEach(service -> nanos.computeIfAbsent(service, s -> mean(List.of(own), s)));
        }
        double largest = nanos.values().stream().mapToDouble(n -> n).max().orElse(0);
        return nanos.entrySet().stream()
                .filter(e -> e.getValue() > 0 && e.getValue() >= USED_PART * largest)
                .max(Comparator.comparingInt((Map.Entry<String, Double> e) -> services.level(e.getKey(), nowNanos))
                        .thenComparing(Map.Entry::getValue)
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }

    /** Returns the mean slot time of the requests that use a service, weighted by their rates; 0 if unknown. */
    private double mean(Collection<KindTraffic> kinds, String service) {
        double rates = 0;
        double nanos = 0;
        for (KindTraffic kind : kinds) {
            for (RequestClass requests : kind.classes()) {
                OptionalDouble known = services.slotNanos(requests, service, nowNanos);
                if (known.isPresent() && known.getAsDouble() > 0) {
                    rates += kind.perSecond(requests);
                    nanos += kind.perSecond(requests) * known.getAsDouble();
                }
            }
        }
        return rates == 0 ? 0 : nanos / rates;
    }
}
