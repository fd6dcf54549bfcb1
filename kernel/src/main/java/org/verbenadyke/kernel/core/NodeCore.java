package org.verbenadyke.kernel.core;

import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.config.ConfigStore;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.departure.DepartureKeeper;
import org.verbenadyke.kernel.departure.DepartureTable;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.engine.EngineParts;
import org.verbenadyke.kernel.follow.FollowDuty;
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
import org.verbenadyke.kernel.quota.LinkSender;
import org.verbenadyke.kernel.quota.RendezvousAllocatorDirectory;
import org.verbenadyke.kernel.quota.TeamLimiter;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.DrainCause;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.Debounce;

/**
 * All decision logic of one node: the request path, the membership, the configuration and the owners of keys. Performs
 * no input or output and has no threads of its own.
 */
public final class NodeCore {
    private static final long REFRESH_DEBOUNCE_NANOS = 5_000_000L;

    private final CoreParts parts;
    private final CoreSettings settings;
    private final MemberTable table = MemberTable.empty();
    private final MemberDuties duties = MemberDuties.of(this::self, table);
    private final Quarantine quarantine;
    private final KeyOwners owners;
    private final Engine engine;
    private final Gossip gossip;
    private final UpstreamLifecycle lifecycle;
    private final ConfigStore config;
    private final MemberLog memberLog;
    private final ReplicatedDepartures departures;
    private final FollowDuty followDuty;
    private final PlanExchange planExchange;
    private final TeamLimiter limiter;
    private final Debounce refresh;

    private NodeCore(CoreParts parts, CoreSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.refresh = Debounce.of(parts.timers(), REFRESH_DEBOUNCE_NANOS, this::refreshNow);
        OwnerView view = OwnerView.of(table, parts.timers(), settings.owner(), this::leaving);
        DepartureTable departed = DepartureTable.create(parts.timers());
        this.quarantine = Quarantine.create(
                parts.timers(), QuarantineSettings.standard(), parts.counters(), parts.decisions(), duties);
        this.owners = KeyOwners.create(view, settings.owner(), parts.timers(), this::isolated);
        this.planExchange = PlanExchange.of(parts.plans(), parts.timers());
        this.engine = Engine.create(engineParts(), settings.policy());
        this.limiter = TeamLimiter.create(limiterParts(), settings.quota());
        owners.connectThrough(engine.links());
        this.followDuty = FollowDuty.of(parts.timers(), settings.follow(), this::self, table, parts.plans());
        this.gossip = Gossip.start(
                new Gossip.Parts(
                        parts.timers(),
                        parts.datagrams(),
                        parts.random().get(),
                        parts.counters(),
                        table,
                        quarantine,
                        departed),
                settings.gossip(),
                parts.self(),
                parts.seeds(),
                new CoreGossipListener(this, parts));
        this.lifecycle = new UpstreamLifecycle(engine, gossip, refresh::request);
        this.config = ConfigStore.start(
                new ConfigStore.Parts(
                        parts.timers(),
                        parts.log(),
                        parts.configurationCodec(),
                        parts.random().get(),
                        parts.counters(),
                        this::tailing,
                        this::applyConfiguration),
                settings.config());
        QuarantineLog.start(parts, quarantine);
        this.departures = ReplicatedDepartures.start(parts, departed, gossip.departures());
        this.memberLog = new MemberLog(parts, new RegisteredNode(gossip, followDuty, quarantine, departed, departures));
    }

    /**
     * Creates a node's logic and subscribes it to the timers.
     *
     * @param parts the components that the logic uses
     * @param settings the settings of the logic
     * @return the logic
     */
    public static NodeCore start(CoreParts parts, CoreSettings settings) {
        NodeCore core = new NodeCore(parts, settings);
        core.refresh.request();
        core.memberLog.start(settings.rewriteNanos(), settings.startSpreadNanos());
        PauseDetector.start(parts.timers(), core::paused);
        return core;
    }

    /**
     * Attaches the announced upstream that is colocated with the node.
     *
     * @param service the service that the upstream serves
     * @param port sends calls to the upstream
     */
    public void attachUpstream(String service, UpstreamPort port) {
        attachUpstream(UpstreamRegistration.of(service, port));
    }

    /**
     * Attaches the announced upstream that is colocated with the node.
     *
     * @param registration the upstream
     */
    public void attachUpstream(UpstreamRegistration registration) {
        lifecycle.attach(registration);
        if (registration.slots().isEmpty()) {
            memberLog.write();
        }
    }

    /** Detaches the upstream, which has fallen silent; the node goes on without one. */
    public void detachUpstream() {
        lifecycle.detach();
    }

    /** Detaches the upstream, at whose address nothing listens any more; the node goes on without one. */
    public void detachCrashedUpstream() {
        lifecycle.detachCrashed();
    }

    /** Called when the attached upstream, which may start again at its address, refuses connections. */
    public void upstreamCrashed() {
        engine.server().attached().crashed();
    }

    /** Called when the attached upstream has reported once more. */
    public void upstreamReported() {
        engine.server().attached().reported();
    }

    /**
     * Follows another number of slots that the upstream announces.
     *
     * @param slots how many calls the upstream runs concurrently from now on
     */
    public void resizeUpstream(int slots) {
        lifecycle.resize(slots);
    }

    /**
     * Informs other nodes that this one has new routes.
     *
     * @param source what brought the routes
     */
    public void plansChanged(String source) {
        followDuty.currency().applied(source);
        gossip.pushPlan();
    }

    /** Called when the upstream reports that it is leaving. */
    public void drain() {
        lifecycle.drain();
    }

    /**
     * Called when the node begins to stop as planned; no upstream gets work from now on.
     *
     * @param endNanos when the process exits, on the local clock
     */
    public void beginShutdown(long endNanos) {
        lifecycle.shutDown(endNanos);
    }

    /** Transfers the keys and announces that the node stops as planned; called when nothing is in flight any more. */
    public void leave() {
        engine.server().upstream().ifPresent(u -> owners.transferKeys(u, duties.takeoverCandidates(u)));
        gossip.change(MemberState.LEFT, gossip.self().service());
        memberLog.leave();
    }

    /** Stops all gossip. */
    public void stop() {
        gossip.stop();
        engine.links().closeAll();
    }

    /**
     * Handles a datagram of another node.
     *
     * @param from where the other node listens
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
     * Returns the store of the configuration.
     *
     * @return the store
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
     * Returns the quarantine of requests that crash servers.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Returns what keeps the departures of the upstream beyond this process.
     *
     * @return the keeper
     */
    public DepartureKeeper departures() {
        return departures;
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
     * Returns the duty to follow the operators' record.
     *
     * @return the duty
     */
    public FollowDuty followDuty() {
        return followDuty;
    }

    /**
     * Returns the limiter that enforces teams' limits.
     *
     * @return the limiter
     */
    public TeamLimiter limiter() {
        return limiter;
    }

    /**
     * Returns how many calls the colocated upstream still has to finish.
     *
     * @return the calls in flight and waiting
     */
    public int unfinishedUpstreamCalls() {
        return upstream().map(u -> u.gate().inFlight() + u.gate().queued()).orElse(0);
    }

    /**
     * Returns whether this node is one of those that tail the log for their data centre.
     *
     * @return whether this node tails the log
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
                parts.plans()::plan,
                BodyMemory.of(settings.bodyBytes(), parts.timers(), parts.plans()::plan, parts.random()),
                owners,
                (link, m) -> owners.received(link, m, upstream()),
                planExchange::received,
                (link, m) -> limiter.received(link, m),
                () -> table.present().size());
    }

    private TeamLimiter.Parts limiterParts() {
        return new TeamLimiter.Parts(
                parts.self().nodeId(),
                parts.timers(),
                parts.random(),
                RendezvousAllocatorDirectory.of(parts.timers(), this::self, table),
                parts.plans()::team,
                LinkSender.over(engine.links()));
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
                && parts.timers().nanos() - gossip.lastReceivedNanos()
                        > settings.owner().isolatedAfterNanos();
    }

    private void applyConfiguration(Configuration configuration) {
        engine.applyConfiguration(configuration);
        if (gossip != null) {
            gossip.pushConfig();
        }
        refresh.request();
    }

    /** Updates the router, the local upstream and the limiter from the members and the configuration. */
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
        upstream().ifPresent(u -> u.setDraining(DrainCause.OPERATORS, leavingByOperators));
    }

    /** Called when the members have changed. */
    void membersChanged() {
        refresh.request();
    }

    /** Called when others had declared this node dead. */
    void declaredDead(MemberRecord renewed) {
        lifecycle.rename(renewed);
    }

    /** Fetches newer routes from another node. */
    void fetchPlan(Endpoint node, long version) {
        planExchange.fetch(engine.links(), node, version);
    }

    private void paused() {
        parts.counters().count(Event.PAUSE_DETECTED);
        lifecycle.rename(gossip.renew());
    }
}
