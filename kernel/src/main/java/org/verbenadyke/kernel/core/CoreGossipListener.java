package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.config.ConfigStore;
import org.verbenadyke.kernel.membership.GossipListener;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.trace.Decision;

/**
 * Handles the updates that gossip receives.
 */
final class CoreGossipListener implements GossipListener {
    private final NodeCore core;
    private final CoreParts parts;

    CoreGossipListener(NodeCore core, CoreParts parts) {
        this.core = core;
        this.parts = parts;
    }

    @Override
    public void membersChanged() {
        core.membersChanged();
    }

    @Override
    public void declaredDead(MemberRecord renewed) {
        core.declaredDead(renewed);
    }

    @Override
    public void learned(MemberRecord r) {
        parts.decisions()
                .note(new Decision.Member(r.nodeId(), r.state().name(), r.incarnation(), r.version(), r.service()));
    }

    @Override
    public long planVersion() {
        return parts.plans().version();
    }

    @Override
    public void newerPlanFound(Endpoint node, long version) {
        core.fetchPlan(node, version);
    }

    @Override
    public int planAgeMillis() {
        return core.followDuty().currency().ageMillis();
    }

    @Override
    public void planAgeReceived(long planVersion, int ageMillis) {
        core.followDuty().currency().heard(planVersion, ageMillis);
    }

    @Override
    public Optional<ConfigState> config() {
        // Gossip starts before the store of the configuration.
        return Optional.ofNullable(core.config()).flatMap(ConfigStore::state);
    }

    @Override
    public void configReceived(ConfigState state) {
        core.config().receive(state);
    }
}
