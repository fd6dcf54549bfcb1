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
            return Optional.of(new Allocation(demand.requested(), 0));
        }
        PermitBucket bucket = buckets.computeIfAbsent(name, t -> new PermitBucket(settings, directory.sinceNanos()));
        synchronized (bucket) {
            return Optional.of(bucket.allocate(node, demand, limit.get(), directory.share(), timers.nanos()));
        }
    }

    /** Drops the buckets that other nodes keep now, so that a bucket starts empty if this node gets the team back. */
    void membersChanged() {
        directory.membersChanged();
        buckets.keySet().removeIf(team -> !directory.isLocal(team));
    }
}
