package org.verbenadyke.kernel.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The slot times of kinds of request at the deeper service that limits them, at one time.
 *
 * @param services knows the levels of services and the slot times of requests there
 * @param nowNanos the time
 */
record BottleneckCosts(DeeperServices services, long nowNanos) {
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
     * Returns the deeper service with the highest level. Among those of the same level, as without any overload, it is
     * the one that takes the most slot time, so that the share is known before an overload begins.
     */
    private Optional<String> bottleneck(KindTraffic own) {
        Set<String> reached = own.classes().stream()
                .flatMap(c -> services.reachedBy(c).stream())
                .collect(Collectors.toSet());
        return reached.stream()
                .max(Comparator.comparingInt((String s) -> services.level(s, nowNanos))
                        .thenComparingDouble(s -> mean(List.of(own), s))
                        .thenComparing(Comparator.naturalOrder()));
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
