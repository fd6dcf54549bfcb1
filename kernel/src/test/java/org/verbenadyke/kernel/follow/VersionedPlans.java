package org.verbenadyke.kernel.follow;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.RoutePlanStore;

/** Plans without routes, whose documents hold nothing but the version. */
public final class VersionedPlans {
    private VersionedPlans() {}

    /**
     * Returns a document.
     *
     * @param version its version
     * @return the document
     */
    public static byte[] document(long version) {
        return Long.toString(version).getBytes(StandardCharsets.US_ASCII);
    }

    static RoutePlanStore empty() {
        return RoutePlanStore.create(VersionedPlans::read, Counters.create(), new RoutePlanStore.Listener() {
            @Override
            public void applied(RoutePlan plan, long before, String source) {
                // Tests look at the version in force.
            }

            @Override
            public void rejected(String source, List<String> problems) {
                // Tests look at the version in force.
            }
        });
    }

    /**
     * Creates a store with a plan.
     *
     * @param version the version of the plan
     * @return the store
     */
    public static RoutePlanStore at(long version) {
        RoutePlanStore plans = empty();
        plans.offer(document(version), "test");
        return plans;
    }

    private static RoutePlan read(byte[] document) {
        String text = new String(document, StandardCharsets.US_ASCII);
        if (!text.matches("\\d+")) {
            throw RoutePlanStore.unreadable(text);
        }
        return RoutePlan.of(Long.parseLong(text), List.of(), List.of(), RequestLimits.standard());
    }
}
