package org.verbenadyke.kernel.core;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.admission.SlotLimit;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.config.ConfigStore;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.engine.EngineParts;
import org.verbenadyke.kernel.follow.FollowDuty;
import org.verbenadyke.kernel.follow.FollowSettings;
import org.verbenadyke.kernel.membership.Gossip;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.owner.KeyOwners;
import org.verbenadyke.kernel.owner.OwnerView;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantineSettings;
import org.verbenadyke.kernel.quota.LinkCourier;
import org.verbenadyke.kernel.quota.MemberDealers;
import org.verbenadyke.kernel.quota.TeamLimiter;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.Debounce;
import org.verbenadyke.kernel.trace.Decision;

/**
 * All decision logic of one node: the request path, the membership, the configuration and the owners of keys. Has no
 * input or output and no threads of its own.
 */
public final class NodeCore {
    private static final long REFRESH_NANOS = 5_000_000L;

    private final CoreParts parts;
    private final CoreSettings settings;
    private final MemberTable table = MemberTable.empty();
    private final MemberDuties duties = MemberDuties.of(this::self, table);
    private final Quarantine quarantine;
    private final KeyOwners owners;
    private final Engine engine;
    private final Gossip gossip;
    private final ConfigStore config;
    private final MemberLog memberLog;
    private final FollowDuty followDuty;
    private final PlanExchange planExchange;
    private final TeamLimiter limiter;
    private final Debounce refreshing;
    private volatile boolean selfDraining;

    private NodeCore(CoreParts parts, CoreSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.refreshing = Debounce.of(parts.timers(), REFRESH_NANOS, this::refreshNow);
        OwnerView view = OwnerView.of(table, parts.timers(), settings.owner(), this::leaving);
        this.quarantine = Quarantine.create(
                parts.timers(), QuarantineSettings.standard(), parts.counters(), parts.decisions(), duties);
        this.owners = KeyOwners.create(view, settings.owner(), parts.timers(), this::isolated);
        this.planExchange = PlanExchange.of(parts.plans());
        this.engine = Engine.create(engineParts(), settings.policy());
        this.limiter = TeamLimiter.create(limiterParts(), settings.quota());
        owners.connectThrough(engine.links());
        this.followDuty = FollowDuty.of(
                parts.timers(),
                FollowSettings.standard(),
                this::self,
                table,
                () -> parts.plans().plan().isPresent());
        this.gossip = Gossip.start(
                new Gossip.Parts(
                        parts.timers(), parts.datagrams(), parts.random().get(), parts.counters(), table, quarantine),
                settings.gossip(),
                parts.self(),
                parts.seeds(),
                new News());
        this.config = ConfigStore.start(
                new ConfigStore.Parts(
                        parts.timers(),
                        parts.log(),
                        parts.configuration(),
                        parts.random().get(),
                        parts.counters(),
                        this::tailing,
                        this::inForce),
                settings.config());
        HeldLog.start(parts, quarantine);
        this.memberLog = new MemberLog(parts, new ListedNode(gossip, followDuty, quarantine));
    }

    /**
     * Creates a node's logic and subscribes it to the timers.
     *
     * @param parts what it works with
     * @param settings how it decides
     * @return the logic
     */
    public static NodeCore start(CoreParts parts, CoreSettings settings) {
        NodeCore core = new NodeCore(parts, settings);
        core.refreshing.request();
        core.memberLog.start(settings.rewriteNanos(), settings.spreadNanos());
        PauseWatch.start(parts.timers(), core::paused);
        return core;
    }

    /**
     * Takes the announcement of the upstream beside the node.
     *
     * @param service the service it serves
     * @param port the way to it
     */
    public void attachUpstream(String service, UpstreamPort port) {
        selfDraining = false;
        MemberRecord record = gossip.change(MemberState.ALIVE, service);
        engine.attach(record.upstreamId(), service, port);
        memberLog.write();
        refreshing.request();
    }

    /**
     * Takes the announcement of an upstream that says how many calls it runs at once.
     *
     * @param service the service it serves
     * @param port the way to it
     * @param slots how many calls it runs at once
     */
    public void attachUpstream(String service, UpstreamPort port, int slots) {
        selfDraining = false;
        gossip.renew();
        MemberRecord record = gossip.change(MemberState.ALIVE, service);
        engine.attach(record.upstreamId(), service, port, SlotLimit.of(slots));
        refreshing.request();
    }

    /** Takes the news that the upstream is gone; the node goes on without one. */
    public void detachUpstream() {
        engine.server().detach();
        gossip.change(selfDraining ? MemberState.DRAINING : MemberState.ALIVE, "");
        refreshing.request();
    }

    /** Tells other nodes that this one has new routes. */
    public void plansChanged() {
        gossip.pushPlan();
    }

    /** Takes the upstream's news that it is leaving. */
    public void drain() {
        selfDraining = true;
        engine.server().upstream().ifPresent(u -> u.drain(true));
        gossip.change(MemberState.DRAINING, gossip.self().service());
    }

    /** Hands the keys on and says that the node stops as planned; called when nothing is in flight any more. */
    public void leave() {
        engine.server().upstream().ifPresent(u -> owners.transferKeys(u, duties.heirs(u)));
        gossip.change(MemberState.LEFT, gossip.self().service());
        memberLog.leave();
    }

    /** Stops all gossip. */
    public void stop() {
        gossip.stop();
        engine.links().closeAll();
    }

    /**
     * Takes a datagram of another node.
     *
     * @param from where it listens
     * @param message the datagram
     */
    public void received(Endpoint from, GossipMessage message) {
        gossip.received(from, message);
    }

    /**
     * Returns the request path.
     *
     * @return the engine
     */
    public Engine engine() {
        return engine;
    }

    /**
     * Returns the configuration's keeper.
     *
     * @return the keeper
     */
    public ConfigStore config() {
        return config;
    }

    /**
     * Returns the members.
     *
     * @return the table
     */
    public MemberTable members() {
        return table;
    }

    /**
     * Returns what is known of requests under which upstreams end.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Returns this node's record.
     *
     * @return the newest
     */
    public MemberRecord self() {
        return gossip == null ? parts.self() : gossip.self();
    }

    /**
     * Returns the duty to read the operators' record.
     *
     * @return the duty
     */
    public FollowDuty followDuty() {
        return followDuty;
    }

    /**
     * Returns what holds teams to their limits.
     *
     * @return the limiter
     */
    public TeamLimiter limiter() {
        return limiter;
    }

    /**
     * Returns how many calls the upstream beside this node still has.
     *
     * @return calls in flight and waiting
     */
    public int unfinishedUpstreamCalls() {
        return engine.server()
                .upstream()
                .map(LocalUpstream::gate)
                .map(g -> g.inFlight() + g.queued())
                .orElse(0);
    }

    /**
     * Tells whether this node is one of those that follow the log closely for their data centre.
     *
     * @return whether it is
     */
    public boolean tailing() {
        return duties.tailing();
    }

    private EngineParts engineParts() {
        return new EngineParts(
                parts.self().nodeId(),
                parts.self().incarnation(),
                parts.self().location(),
                parts.timers(),
                parts.transport(),
                parts.random(),
                parts.counters(),
                parts.ledger(),
                parts.decisions(),
                quarantine,
                owners,
                (link, m) -> owners.received(link, m, upstream()),
                planExchange::received,
                (link, m) -> limiter.received(link, m));
    }

    private TeamLimiter.Parts limiterParts() {
        return new TeamLimiter.Parts(
                parts.self().nodeId(),
                parts.timers(),
                parts.random(),
                MemberDealers.of(parts.timers(), this::self, table),
                parts.plans()::team,
                LinkCourier.over(engine.links()));
    }

    private Optional<LocalUpstream> upstream() {
        return engine.server().upstream();
    }

    private boolean leaving(MemberRecord record) {
        return leaving(record, engine.configuration());
    }

    private static boolean leaving(MemberRecord record, Configuration configuration) {
        return configuration.leaving().contains(record.nodeId());
    }

    private boolean isolated() {
        boolean alone = table.present().size() <= 1;
        return !alone
                && parts.timers().nanos() - gossip.heardNanos()
                        > settings.owner().isolatedAfterNanos();
    }

    private void inForce(Configuration configuration) {
        engine.applyConfiguration(configuration);
        if (gossip != null) {
            gossip.pushConfig();
        }
        refreshing.request();
    }

    /** Brings the router, the local upstream and the limiter in line with members and configuration. */
    private void refreshNow() {
        if (gossip == null) {
            // A timer fired while the constructor still ran on another thread; start refreshes once it is done.
            return;
        }
        Configuration configuration = engine.configuration();
        List<Upstream> accepting = table.present().stream()
                .filter(r -> r.state().accepting() && !leaving(r, configuration))
                .flatMap(r -> r.upstream().stream())
                .toList();
        engine.router().update(accepting);
        limiter.membersChanged();
        boolean leavingByOperators = leaving(gossip.self(), configuration);
        upstream().ifPresent(u -> u.drain(selfDraining || leavingByOperators));
    }

    private void paused() {
        parts.counters().count(Event.PAUSE_DETECTED);
        rename(gossip.renew());
    }

    /** Goes on under a new id: others may have given the old one's keys to another owner. */
    private void rename(MemberRecord renewed) {
        upstream().ifPresent(u -> engine.server().attach(u.withId(renewed.upstreamId())));
        refreshing.request();
    }

    /**
     * Takes the news that gossip brings.
     */
    private final class News implements Gossip.Listener {
        @Override
        public void membersChanged() {
            refreshing.request();
        }

        @Override
        public void givenUp(MemberRecord renewed) {
            rename(renewed);
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
        public void newerPlanAt(Endpoint node) {
            planExchange.fetch(engine.links(), node);
        }

        @Override
        public int followedMillis() {
            return followDuty.followerAgeMillis();
        }

        @Override
        public void followedHeard(int ageMillis) {
            followDuty.heard(ageMillis);
        }

        @Override
        public Optional<ConfigState> config() {
            return config == null ? Optional.empty() : config.state();
        }

        @Override
        public void configHeard(ConfigState state) {
            config.receive(state);
        }
    }
}
