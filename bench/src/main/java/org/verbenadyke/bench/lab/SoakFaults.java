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
 * The faults of a randomised run, several at once or twice. Each heals after a while.
 */
final class SoakFaults {
    private static final long GAP_NANOS = 2 * Lab.SECOND;
    private static final long LONGEST_NANOS = 9 * Lab.SECOND;
    private static final long SHORTEST_NANOS = 300 * Lab.MILLI;
    private static final long POLL_NANOS = 50 * Lab.MILLI;
    private static final long LEAVE_NANOS = 300 * Lab.MILLI;
    private static final long GRACEFUL_MOST_NANOS = 40 * Lab.SECOND;
    private static final long READY_NANOS = 3 * Lab.SECOND;

    private final Lab lab;
    private final List<FaultKind> kinds;
    private final SoakOperators operators;
    private final SoakCrashes crashes;
    private final List<String> violations;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<String> trace = new ArrayList<>();
    private String last = "";
    private long faults;

    SoakFaults(Lab lab, Set<FaultKind> kinds, SoakOperators operators, List<String> violations) {
        this.kinds = List.copyOf(new TreeSet<>(kinds));
        this.lab = lab;
        this.operators = operators;
        this.crashes = new SoakCrashes(lab);
        this.violations = violations;
    }

    void provoke(long untilNanos) {
        if (lab.world().nanos() >= untilNanos) {
            return;
        }
        last = "";
        FaultKind kind = kinds.get(lab.random().nextInt(kinds.size()));
        long length = SHORTEST_NANOS + lab.random().nextLong(LONGEST_NANOS);
        if (provoke(kind, length)) {
            faults++;
            trace.add(lab.world().nanos() / Lab.MILLI + " " + kind + " for " + length / Lab.MILLI + last);
            counts.merge(kind.name(), 1, Integer::sum);
        }
        lab.world().after(lab.random().nextLong(2 * GAP_NANOS), () -> provoke(untilNanos));
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

    private boolean provoke(FaultKind kind, long length) {
        return switch (kind) {
            case KILL ->
                onServer(s -> {
                    lab.kill(s);
                    lab.world().after(length, () -> lab.start(s));
                });
            case PAUSE ->
                onServer(s -> {
                    NodeTimers process = s.node().process();
                    process.pause();
                    lab.world().after(length, process::resume);
                });
            case KILL_UPSTREAM -> onServer(s -> killUpstream(s, length));
            case SILENCE -> lab.net().silence(lab.random().nextDouble()) > 0;
            case SEVER -> lab.net().sever(lab.random().nextDouble() / 2) > 0;
            case LOG_OUTAGE ->
                healing(length, () -> lab.log().outage(true), () -> lab.log().outage(false));
            case LOG_SLOW ->
                healing(
                        length,
                        () -> lab.log().slow(length / 8),
                        () -> lab.log().slow(0));
            case LOG_LOSS ->
                healing(
                        length,
                        () -> lab.log().loseAnswers(0.5),
                        () -> lab.log().loseAnswers(0));
            case RETENTION ->
                healing(length, () -> lab.log().retain(3), () -> lab.log().retain(Integer.MAX_VALUE));
            case RACE -> {
                operators.race();
                yield true;
            }
            case DRAIN -> onServer(s -> drain(s, length));
            case RESTART -> onServer(this::restart);
            case SLOW -> slow(length);
            case FAIL ->
                onServer(s -> {
                    FakeUpstream upstream = s.upstream();
                    upstream.failShare(0.7);
                    lab.world().after(length, () -> upstream.failShare(0));
                });
            case CRASH_NODES -> crashes.series(0);
            case CRASH_SERVERS -> crashes.series(lab.random().nextDouble());
            case PARTITION ->
                healing(
                        length,
                        () -> lab.net()
                                .partition((a, b) -> !lab.place(a)
                                        .region()
                                        .equals(lab.place(b).region())),
                        () -> lab.net().partition((a, b) -> false));
        };
    }

    /** Picks a working server whose service has two others at work. */
    private boolean onServer(Consumer<LabServer> fault) {
        Predicate<LabServer> spare =
                s -> lab.servers(s.spec().name()).stream().filter(this::ready).count() > 2;
        List<LabServer> candidates =
                lab.servers().stream().filter(this::ready).filter(spare).toList();
        if (candidates.isEmpty()) {
            return false;
        }
        LabServer chosen = candidates.get(lab.random().nextInt(candidates.size()));
        last = " on " + chosen.id();
        fault.accept(chosen);
        return true;
    }

    private boolean ready(LabServer s) {
        return s.working() && lab.world().nanos() - s.upSinceNanos() > READY_NANOS;
    }

    private boolean healing(long length, Runnable fault, Runnable cure) {
        fault.run();
        lab.world().after(length, cure);
        return true;
    }

    private boolean slow(long length) {
        List<LabServer> all = lab.servers("survey-view");
        all.forEach(s -> s.upstream().slow(5));
        lab.world().after(length, () -> all.forEach(s -> s.upstream().slow(1)));
        return true;
    }

    private void killUpstream(LabServer s, long length) {
        s.leaving(true);
        s.upstream().kill();
        LabNode node = s.node();
        lab.world().after(length, () -> {
            if (s.node() == node && s.up()) {
                lab.replaceUpstream(s);
            }
        });
    }

    private void drain(LabServer s, long length) {
        s.leaving(true);
        LabNode node = s.node();
        node.process().run(() -> node.core().drain());
        lab.world().after(length, () -> {
            if (s.node() == node && s.up()) {
                s.leaving(false);
                node.process().run(() -> node.core().attachUpstream(s.spec().name(), s.upstream()));
            }
        });
    }

    /** Stops a server as planned and replaces it; nothing in flight may be cut off. */
    private void restart(LabServer s) {
        s.leaving(true);
        LabNode node = s.node();
        node.process().run(() -> node.core().drain());
        long until = lab.world().nanos() + GRACEFUL_MOST_NANOS;
        lab.world().after(LEAVE_NANOS, () -> awaitIdle(s, node, until));
    }

    private void awaitIdle(LabServer s, LabNode node, long until) {
        if (s.node() != node || !s.up()) {
            return;
        }
        boolean idle = node.core().engine().server().unfinished() == 0
                && node.core().engine().dispatcher().inFlight() == 0;
        if (!idle && lab.world().nanos() < until) {
            lab.world().after(POLL_NANOS, () -> awaitIdle(s, node, until));
            return;
        }
        if (!idle) {
            violations.add("a planned stop of " + s.id() + " did not become idle");
        }
        node.process().run(() -> node.core().leave());
        lab.world().after(LEAVE_NANOS, () -> {
            if (s.node() == node && s.up()) {
                lab.kill(s);
                lab.world().after(LEAVE_NANOS, () -> lab.start(s));
            }
        });
    }
}
