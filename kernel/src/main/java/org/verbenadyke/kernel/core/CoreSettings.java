package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.config.ConfigSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.membership.GossipSettings;
import org.verbenadyke.kernel.owner.OwnerSettings;
import org.verbenadyke.kernel.quota.QuotaSettings;
import org.verbenadyke.kernel.quota.QuotaTolerance;

/**
 * How a node decides.
 *
 * @param policy the request path
 * @param gossip how news travels
 * @param config how the configuration's stream is read and written
 * @param owner how long doubts about a key's owner last
 * @param rewriteNanos how often a node writes its record to the log again, in nanoseconds
 * @param spreadNanos over how long nodes that start together spread their first reading of the members, in nanoseconds
 * @param quota how teams are held to their limits
 */
public record CoreSettings(
        Policy policy,
        GossipSettings gossip,
        ConfigSettings config,
        OwnerSettings owner,
        long rewriteNanos,
        long spreadNanos,
        QuotaSettings quota) {
    private static final long DEFAULT_REWRITE_NANOS = 3_600_000_000_000L;

    /**
     * The spread at the fleet's very first start, when nobody is listed yet, so that all but the first few find enough
     * others listed and need not ask the store for the routes.
     */
    private static final long FIRST_SPREAD_NANOS = 400_000_000L;

    /**
     * Returns the settings in use unless others are given.
     *
     * @param policy the request path
     * @return the settings
     */
    public static CoreSettings with(Policy policy) {
        return new CoreSettings(
                policy,
                GossipSettings.standard(),
                ConfigSettings.standard(),
                OwnerSettings.withRetention(policy.keyRetentionNanos()),
                DEFAULT_REWRITE_NANOS,
                0,
                QuotaSettings.with(QuotaTolerance.none()));
    }

    /**
     * Returns the settings of a node whose configuration is not on the product's own log.
     *
     * @param policy the request path
     * @return the settings
     */
    public static CoreSettings withoutConfigLog(Policy policy) {
        CoreSettings s = with(policy);
        return new CoreSettings(policy, s.gossip, ConfigSettings.notFollowing(), s.owner, s.rewriteNanos, 0, s.quota);
    }

    /**
     * Returns the settings of a node that starts together with all others for the first time.
     *
     * @return the settings
     */
    public CoreSettings firstStart() {
        return new CoreSettings(policy, gossip, config, owner, rewriteNanos, FIRST_SPREAD_NANOS, quota);
    }

    /**
     * Returns the same settings with a tolerance of teams' limits.
     *
     * @param tolerance by how much limits may be exceeded
     * @return the settings
     */
    public CoreSettings withQuotaTolerance(QuotaTolerance tolerance) {
        return new CoreSettings(
                policy, gossip, config, owner, rewriteNanos, spreadNanos, QuotaSettings.with(tolerance));
    }
}
