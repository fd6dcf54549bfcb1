package org.verbenadyke.kernel.follow;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.RoutePlanStore;

/** Plans without routes, whose documents hold nothing but the version. */
final class VersionedPlans {
    private VersionedPlans() {}

    static byte[] document(long version) {
        return Long.toString(version).getBytes(StandardCharsets.US_ASCII);
    }

    static RoutePlanStore empty() {
        return RoutePlanStore.create(VersionedPlans::read, Counters.create(), new RoutePlanStore.Listener() {
            @Override
            public void applied(RoutePlan plan, long before, String source) {
                // Nobody is told.
            }

            @Override
            public void rejected(String source, List<String> problems) {
                throw new IllegalStateException(problems.toString());
            }
        });
    }

    static RoutePlanStore at(long version) {
        RoutePlanStore plans = empty();
        plans.offer(document(version), "test");
        return plans;
    }

    private static RoutePlan read(byte[] document) {
        long version = Long.parseLong(new String(document, StandardCharsets.US_ASCII));
        return RoutePlan.of(version, List.of(), List.of(), RequestLimits.standard());
    }
}
