package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Injects the faults of a randomised run. Several faults, also of the same kind, may be active at the same time; each
 * one ends after a random time.
 */
final class SoakFaults {
    private static final long MEAN_GAP_NANOS = 2 * Lab.SECOND;
    private static final long LENGTH_SPREAD_NANOS = 9 * Lab.SECOND;
    private static final long MIN_LENGTH_NANOS = 300 * Lab.MILLI;
    private static final double[] RATE_LIMITS = {0, 0.3, 2, 8, 25};
    private static final long POLL_NANOS = 50 * Lab.MILLI;
    private static final long LEAVE_PAUSE_NANOS = 300 * Lab.MILLI;
    private static final long MAX_GRACEFUL_STOP_NANOS = 40 * Lab.SECOND;
    private static final long MIN_UPTIME_NANOS = 3 * Lab.SECOND;

    private final Lab lab;
    private final List<FaultKind> kinds;
    private final SoakOperators operators;
    private final SoakCrashes crashes;
    private final List<String> violations;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<String> trace = new ArrayList<>();
    private String lastTarget = "";
    private long faults;

    SoakFaults(Lab lab, Set<FaultKind> kinds, SoakOperators operators, List<String> violations) {
        this.kinds = List.copyOf(new TreeSet<>(kinds));
        this.lab = lab;
        this.operators = operators;
        this.crashes = new SoakCrashes(lab);
        this.violations = violations;
    }

    void inject(long untilNanos) {
        if (lab.clock().nanos() >= untilNanos) {
            return;
        }
        lastTarget = "";
        FaultKind kind = kinds.get(lab.random().nextInt(kinds.size()));
        long length = MIN_LENGTH_NANOS + lab.random().nextLong(LENGTH_SPREAD_NANOS);
        if (inject(kind, length)) {
            faults++;
            trace.add(lab.clock().nanos() / Lab.MILLI + " " + kind + " for " + length / Lab.MILLI + lastTarget);
            counts.merge(kind.name(), 1, Integer::sum);
        }
        lab.clock().after(lab.random().nextLong(2 * MEAN_GAP_NANOS), () -> inject(untilNanos));
    }

    /** Returns each fault with its time and length in milliseconds. */
    List<String> trace() {
        return trace;
    }

    long faults() {
        return faults;
    }

    Map<String, Integer> counts() {
        return counts;
    }

    private boolean inject(FaultKind kind, long length) {
        return switch (kind) {
            case KILL ->
                onServer(s -> {
                    lab.kill(s);
                    lab.clock().after(length, () -> lab.start(s));
                });
            case PAUSE ->
                onServer(s -> {
                    ProcessTimers process = s.node().process();
                    process.pause();
                    lab.clock().after(length, process::resume);
                });
            case KILL_UPSTREAM -> onServer(s -> killUpstream(s, length));
            case SILENCE -> lab.net().silence(lab.random().nextDouble()) > 0;
            case SEVER -> lab.net().sever(lab.random().nextDouble() / 2) > 0;
            case LOG_OUTAGE ->
                temporarily(
                        length, () -> lab.log().outage(true), () -> lab.log().outage(false));
            case LOG_SLOW ->
                temporarily(
                        length,
                        () -> lab.log().slow(length / 8),
                        () -> lab.log().slow(0));
            case LOG_LOSS ->
                temporarily(
                        length,
                        () -> lab.log().loseAnswers(0.5),
                        () -> lab.log().loseAnswers(0));
            case RETENTION ->
                temporarily(length, () -> lab.log().retain(3), () -> lab.log().retain(Integer.MAX_VALUE));
            case RACE -> {
                operators.confirmConcurrently();
                yield true;
            }
            case DRAIN -> onServer(s -> drain(s, length));
            case RATE_LIMIT -> onServer(s -> limitRate(s, length));
            case LEAVING_NOTICE -> onServer(s -> leaveByNotice(s, length));
            case RESTART -> onServer(this::restart);
            case SLOW -> slow(length);
            case FAIL ->
                onServer(s -> {
                    FakeUpstream upstream = s.upstream();
                    upstream.failShare(0.7);
                    lab.clock().after(length, () -> upstream.failShare(0));
                });
            case CRASH_NODES -> crashes.startSeries(0);
            case CRASH_SERVERS -> crashes.startSeries(lab.random().nextDouble());
            case PARTITION ->
                temporarily(
                        length,
                        () -> lab.net()
                                .partition((a, b) -> !lab.location(a)
                                        .region()
                                        .equals(lab.location(b).region())),
                        () -> lab.net().partition((a, b) -> false));
        };
    }

    /** Injects a fault on a random working server whose service has at least two other working servers. */
    private boolean onServer(Consumer<LabServer> fault) {
        Predicate<LabServer> hasTwoOthers =
                s -> lab.servers(s.spec().name()).stream().filter(this::ready).count() > 2;
        List<LabServer> candidates =
                lab.servers().stream().filter(this::ready).filter(hasTwoOthers).toList();
        if (candidates.isEmpty()) {
            return false;
        }
        LabServer chosen = candidates.get(lab.random().nextInt(candidates.size()));
        lastTarget = " on " + chosen.id();
        fault.accept(chosen);
        return true;
    }

    private boolean ready(LabServer s) {
        return s.working() && lab.clock().nanos() - s.upSinceNanos() > MIN_UPTIME_NANOS;
    }

    private boolean temporarily(long length, Runnable fault, Runnable heal) {
        fault.run();
        lab.clock().after(length, heal);
        return true;
    }

    private boolean slow(long length) {
        List<LabServer> all = lab.servers("survey-view");
        all.forEach(s -> s.upstream().slow(5));
        lab.clock().after(length, () -> all.forEach(s -> s.upstream().slow(1)));
        return true;
    }

    private void killUpstream(LabServer s, long length) {
        s.setLeaving(true);
        s.upstream().kill();
        LabNode node = s.node();
        lab.clock().after(length, () -> {
            if (s.node() == node && s.up()) {
                lab.replaceUpstream(s);
            }
        });
    }

    /** Lets an upstream name a limit, change it halfway, and end it. */
    private void limitRate(LabServer s, long length) {
        UpstreamStatement statement = s.upstream().statement();
        nameLimit(statement);
        lab.clock().after(length, () -> nameLimit(statement));
        lab.clock()
                .after(
                        2 * length,
                        () -> statement.limit(
                                Double.POSITIVE_INFINITY, lab.clock().nanos()));
    }

    private void nameLimit(UpstreamStatement statement) {
        double perSecond = RATE_LIMITS[lab.random().nextInt(RATE_LIMITS.length)];
        statement.limit(perSecond, lab.clock().nanos());
    }

    private void leaveByNotice(LabServer s, long length) {
        s.setLeaving(true);
        s.upstream().statement().leave();
        LabNode node = s.node();
        lab.clock().after(length + MIN_UPTIME_NANOS, () -> {
            if (s.node() == node && s.up()) {
                lab.replaceUpstream(s);
            }
        });
    }

    private void drain(LabServer s, long length) {
        s.setLeaving(true);
        LabNode node = s.node();
        node.process().run(() -> node.core().drain());
        lab.clock().after(length, () -> {
            if (s.node() == node && s.up()) {
                s.setLeaving(false);
                node.process().run(() -> node.core().attachUpstream(Lab.registration(s, s.upstream())));
            }
        });
    }

    /** Stops a server gracefully and replaces it; no request in flight may be aborted. */
    private void restart(LabServer s) {
        s.setLeaving(true);
        LabNode node = s.node();
        node.process().run(() -> node.core().drain());
        long until = lab.clock().nanos() + MAX_GRACEFUL_STOP_NANOS;
        lab.clock().after(LEAVE_PAUSE_NANOS, () -> awaitIdle(s, node, until));
    }

    private void awaitIdle(LabServer s, LabNode node, long until) {
        if (s.node() != node || !s.up()) {
            return;
        }
        boolean idle = node.core().engine().server().unfinished() == 0
                && node.core().engine().dispatcher().inFlight() == 0;
        if (!idle && lab.clock().nanos() < until) {
            lab.clock().after(POLL_NANOS, () -> awaitIdle(s, node, until));
            return;
        }
        if (!idle) {
            violations.add(s.id() + " did not become idle during a graceful stop");
        }
        node.process().run(() -> node.core().leave());
        lab.clock().after(LEAVE_PAUSE_NANOS, () -> {
            if (s.node() == node && s.up()) {
                lab.kill(s);
                lab.clock().after(LEAVE_PAUSE_NANOS, () -> lab.start(s));
            }
        });
    }
}
