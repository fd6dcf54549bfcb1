package org.verbenadyke.kernel.engine;

import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.LimitSettings;
import org.verbenadyke.kernel.budget.AllowanceSettings;
import org.verbenadyke.kernel.dispatch.DispatchSettings;
import org.verbenadyke.kernel.link.LinkSettings;
import org.verbenadyke.kernel.routing.Locality;
import org.verbenadyke.kernel.serve.ServeSettings;

/**
 * The settings that determine how a node routes, limits, retries and serves requests.
 *
 * @param chooser the plug-in that chooses among upstreams
 * @param limit the plug-in that limits concurrency
 * @param subsetSize how many upstreams of a service a node uses at most
 * @param perHopRetries how many retries each hop makes on its own, 0 to use the budget of the call chain
 * @param defaultTtlNanos the time to live of a request that states none, in nanoseconds
 * @param keyRetentionNanos how long an idempotency key is retained, in nanoseconds
 * @param gate how calls are queued and shed
 * @param limits the bounds of the concurrency limit
 * @param dispatch how requests are retried
 * @param serve how calls are served
 * @param link how links are monitored
 * @param locality how strongly calls are kept inside their data centre
 * @param allowance how many retries all nodes together may make
 */
public record Policy(
        String chooser,
        String limit,
        int subsetSize,
        int perHopRetries,
        long defaultTtlNanos,
        long keyRetentionNanos,
        GateSettings gate,
        LimitSettings limits,
        DispatchSettings dispatch,
        ServeSettings serve,
        LinkSettings link,
        Locality locality,
        AllowanceSettings allowance) {
    private static final long SECOND = 1_000_000_000L;
    private static final int DEFAULT_SUBSET = 12;
    private static final long DEFAULT_TTL_SECONDS = 5;
    private static final long DEFAULT_RETENTION_SECONDS = 120;
    private static final LimitSettings DEFAULT_LIMITS = new LimitSettings(16, 2, 2_000);
    private static final int BASELINE_RETRIES = 3;

    /**
     * Returns the default policy.
     *
     * @return the policy
     */
    public static Policy standard() {
        return new Policy(
                "two-choices",
                "adaptive",
                DEFAULT_SUBSET,
                0,
                DEFAULT_TTL_SECONDS * SECOND,
                DEFAULT_RETENTION_SECONDS * SECOND,
                GateSettings.standard(),
                DEFAULT_LIMITS,
                DispatchSettings.standard(),
                ServeSettings.standard(),
                LinkSettings.standard(),
                Locality.STANDARD,
                AllowanceSettings.UNLIMITED);
    }

    /**
     * Returns the policy that benchmarks use as the baseline: three retries per hop, an unbounded queue, round-robin
     * routing and no shedding.
     *
     * @return the policy
     */
    public static Policy baseline() {
        Policy s = standard();
        return new Policy(
                "round-robin",
                "fixed",
                Integer.MAX_VALUE,
                BASELINE_RETRIES,
                s.defaultTtlNanos,
                s.keyRetentionNanos,
                GateSettings.unbounded(),
                s.limits,
                DispatchSettings.baseline(),
                s.serve,
                s.link,
                s.locality,
                AllowanceSettings.UNLIMITED);
    }

    /**
     * Returns the same policy with a limit of the retries that all nodes together may make.
     *
     * @param retries the limit
     * @return the policy
     */
    public Policy withAllowance(AllowanceSettings retries) {
        return new Policy(
                chooser,
                limit,
                subsetSize,
                perHopRetries,
                defaultTtlNanos,
                keyRetentionNanos,
                gate,
                limits,
                dispatch,
                serve,
                link,
                locality,
                retries);
    }
}
