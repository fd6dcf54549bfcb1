package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.config.ConfigSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.follow.FollowSettings;
import org.verbenadyke.kernel.membership.GossipSettings;
import org.verbenadyke.kernel.owner.OwnerSettings;
import org.verbenadyke.kernel.quota.QuotaSettings;
import org.verbenadyke.kernel.quota.QuotaTolerance;

/**
 * The settings of a node's decision logic.
 *
 * @param policy the policy of the request path
 * @param gossip how updates spread and failures are detected
 * @param config how the configuration's stream is read and written
 * @param owner how long the ownership of a key stays in doubt
 * @param rewriteNanos how often a node rewrites its record on the log, in nanoseconds
 * @param startSpreadNanos over how long nodes that start together spread their first read of the members' stream, in
 *     nanoseconds
 * @param quota how teams' limits are enforced
 * @param follow how the operators' record is followed
 * @param bodyBytes the limit of the memory for request bodies, in bytes; see {@link BodyMemory}
 */
public record CoreSettings(
        Policy policy,
        GossipSettings gossip,
        ConfigSettings config,
        OwnerSettings owner,
        long rewriteNanos,
        long startSpreadNanos,
        QuotaSettings quota,
        FollowSettings follow,
        long bodyBytes) {
    private static final long DEFAULT_REWRITE_NANOS = 3_600_000_000_000L;

    /**
     * The spread at the fleet's very first start, when no node is registered yet: all but the first few nodes then find
     * enough others registered, and need not request the routes from the store.
     */
    private static final long FIRST_START_SPREAD_NANOS = 400_000_000L;

    /**
     * Returns the default settings.
     *
     * @param policy the policy of the request path
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
                QuotaSettings.with(QuotaTolerance.none()),
                FollowSettings.standard(),
                BodyMemory.DEFAULT_BYTES);
    }

    /**
     * Returns the default settings of a node whose configuration is not kept on verbenadyke's own log.
     *
     * @param policy the policy of the request path
     * @return the settings
     */
    public static CoreSettings withoutConfigLog(Policy policy) {
        CoreSettings s = with(policy);
        return new CoreSettings(
                policy,
                s.gossip,
                ConfigSettings.notFollowing(),
                s.owner,
                s.rewriteNanos,
                0,
                s.quota,
                s.follow,
                s.bodyBytes);
    }

    /**
     * Returns the same settings for a node that starts together with all others for the first time.
     *
     * @return the settings
     */
    public CoreSettings firstStart() {
        return new CoreSettings(
                policy, gossip, config, owner, rewriteNanos, FIRST_START_SPREAD_NANOS, quota, follow, bodyBytes);
    }

    /**
     * Returns the same settings with a tolerance for teams' limits.
     *
     * @param tolerance by how much limits may be exceeded
     * @return the settings
     */
    public CoreSettings withQuotaTolerance(QuotaTolerance tolerance) {
        return new CoreSettings(
                policy,
                gossip,
                config,
                owner,
                rewriteNanos,
                startSpreadNanos,
                QuotaSettings.with(tolerance),
                follow,
                bodyBytes);
    }

    /**
     * Returns the same settings with a limit of the memory for request bodies.
     *
     * @param bytes the limit, in bytes
     * @return the settings
     */
    public CoreSettings withBodyBytes(long bytes) {
        return new CoreSettings(policy, gossip, config, owner, rewriteNanos, startSpreadNanos, quota, follow, bytes);
    }

    /**
     * Returns the same settings with a bound for changes of the operators' record.
     *
     * @param nanos how long a change may take until it is in force everywhere, in nanoseconds
     * @return the settings
     */
    public CoreSettings withConfigBound(long nanos) {
        return new CoreSettings(
                policy,
                gossip,
                config,
                owner,
                rewriteNanos,
                startSpreadNanos,
                quota,
                FollowSettings.within(nanos),
                bodyBytes);
    }
}
