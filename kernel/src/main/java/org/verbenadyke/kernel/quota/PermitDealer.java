package org.verbenadyke.kernel.quota;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.verbenadyke.kernel.team.RateLimit;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Deals the permits of the teams that fall to this node. Safe for many threads.
 */
final class PermitDealer {
    private final TimerService timers;
    private final Dealers dealers;
    private final Function<String, Optional<Team>> teams;
    private final QuotaSettings settings;
    private final Map<String, Account> accounts = new ConcurrentHashMap<>();

    private PermitDealer(
            TimerService timers, Dealers dealers, Function<String, Optional<Team>> teams, QuotaSettings settings) {
        this.timers = timers;
        this.dealers = dealers;
        this.teams = teams;
        this.settings = settings;
    }

    static PermitDealer create(
            TimerService timers, Dealers dealers, Function<String, Optional<Team>> teams, QuotaSettings settings) {
        return new PermitDealer(timers, dealers, teams, settings);
    }

    /**
     * Deals permits.
     *
     * @param node the node that asks
     * @param name the team's name
     * @param demand what the node asks for
     * @return what it gets, empty if this node does not deal the team's permits now
     */
    Optional<Deal> deal(String node, String name, Demand demand) {
        Optional<Team> team = teams.apply(name);
        if (team.isEmpty() || !dealers.here(name) || !dealers.settled()) {
            return Optional.empty();
        }
        Optional<RateLimit> limit = team.get().limit();
        if (limit.isEmpty()) {
            return Optional.of(new Deal(demand.wanted(), 0));
        }
        Account account = accounts.computeIfAbsent(name, t -> new Account(settings, dealers.sinceNanos()));
        synchronized (account) {
            return Optional.of(account.deal(node, demand, limit.get(), dealers.share(), timers.nanos()));
        }
    }

    /** Drops the accounts that other nodes keep now, so that they begin empty should they return. */
    void membersChanged() {
        dealers.membersChanged();
        accounts.keySet().removeIf(team -> !dealers.here(team));
    }
}
