package org.verbenadyke.kernel.quota;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.verbenadyke.kernel.team.RateLimit;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Allocates the permits of the teams that this node is responsible for. Thread-safe.
 */
final class PermitAllocator {
    private final TimerService timers;
    private final AllocatorDirectory directory;
    private final Function<String, Optional<Team>> teams;
    private final QuotaSettings settings;
    private final Map<String, PermitBucket> buckets = new ConcurrentHashMap<>();
    private final Map<String, DemandSurplus> surpluses = new ConcurrentHashMap<>();

    private PermitAllocator(
            TimerService timers,
            AllocatorDirectory directory,
            Function<String, Optional<Team>> teams,
            QuotaSettings settings) {
        this.timers = timers;
        this.directory = directory;
        this.teams = teams;
        this.settings = settings;
    }

    static PermitAllocator create(
            TimerService timers,
            AllocatorDirectory directory,
            Function<String, Optional<Team>> teams,
            QuotaSettings settings) {
        return new PermitAllocator(timers, directory, teams, settings);
    }

    /**
     * Leases permits to a node.
     *
     * @param node the requesting node
     * @param name the team's name
     * @param demand what the node requests
     * @return the permits granted, empty if this node does not allocate the team's permits now
     */
    Optional<Allocation> allocate(String node, String name, Demand demand) {
        Optional<Team> team = teams.apply(name);
        if (team.isEmpty() || !directory.isLocal(name) || !directory.membershipStable()) {
            return Optional.empty();
        }
        Optional<RateLimit> limit = team.get().limit();
        if (limit.isEmpty()) {
            return Optional.of(new Allocation(demand.requested(), 0, 0));
        }
        long now = timers.nanos();
        PermitBucket bucket = buckets.computeIfAbsent(name, t -> new PermitBucket(settings, directory.sinceNanos()));
        DemandSurplus surplus = surplus(name, now);
        synchronized (bucket) {
            Allocation allocation = bucket.allocate(node, demand, limit.get(), directory.share(), now);
            surplus.record(allocation.granted() - demand.returned(), directory.aliveMembers(), now);
            return Optional.of(allocation.withSurplusShare(surplus.share(now)));
        }
    }

    /**
     * Drops the buckets and the surpluses that other nodes keep now, so that both start empty if this node gets the
     * team back.
     */
    void membersChanged() {
        directory.membersChanged();
        buckets.keySet().removeIf(team -> !directory.isLocal(team));
        surpluses.keySet().removeIf(team -> !directory.isLocal(team));
    }

    /** Returns the surplus of a team; drops those of teams that have no limit any more when one is added. */
    private DemandSurplus surplus(String name, long now) {
        if (!surpluses.containsKey(name)) {
            surpluses.keySet().removeIf(t -> teams.apply(t).flatMap(Team::limit).isEmpty());
        }
        return surpluses.computeIfAbsent(name, t -> DemandSurplus.startingAt(now));
    }
}
