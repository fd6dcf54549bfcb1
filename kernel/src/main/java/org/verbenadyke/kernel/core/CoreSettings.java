package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.config.ConfigSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.membership.GossipSettings;
import org.verbenadyke.kernel.owner.OwnerSettings;

/**
 * How a node decides.
 *
 * @param policy the request path
 * @param gossip how news travels
 * @param config how the configuration's stream is read and written
 * @param owner how long doubts about a key's owner last
 * @param rewriteNanos how often a node writes its record to the log again, in nanoseconds
 */
public record CoreSettings(
        Policy policy, GossipSettings gossip, ConfigSettings config, OwnerSettings owner, long rewriteNanos) {
    private static final long DEFAULT_REWRITE_NANOS = 3_600_000_000_000L;

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
                OwnerSettings.keeping(policy.keyRetentionNanos()),
                DEFAULT_REWRITE_NANOS);
    }

    /**
     * Returns the settings of a node whose configuration is not on the product's own log.
     *
     * @param policy the request path
     * @return the settings
     */
    public static CoreSettings withoutConfigLog(Policy policy) {
        CoreSettings s = with(policy);
        return new CoreSettings(policy, s.gossip, ConfigSettings.unfollowed(), s.owner, s.rewriteNanos);
    }
}
