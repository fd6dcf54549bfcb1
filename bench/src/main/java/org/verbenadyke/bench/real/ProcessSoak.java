package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.standins.caller.Caller;
import org.verbenadyke.standins.caller.CallerOutcome;
import org.verbenadyke.standins.caller.EffectsReader;
import org.verbenadyke.standins.run.Fleet;
import org.verbenadyke.standins.run.FleetOptions;
import org.verbenadyke.standins.run.Server;
import org.verbenadyke.standins.run.UuidV7;
import org.verbenadyke.standins.run.Workload;

import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.netty.HttpClients;

/**
 * A randomised run of real processes with real signals: kills, crashes of many nodes that restart immediately, pauses
 * longer than every timeout, graceful restarts, outages and delays of the log. Callers resend some filings with the
 * same key through other nodes, and send others once without a key. The faults are the same for the same seed; the
 * timing of the machine is not.
 */
public final class ProcessSoak {
    private static final long GAP_MILLIS = 10;
    private static final long DEADLINE_MILLIS = 2_500;
    /** Longer than a crashed node takes to restart while others do too, so that a filing may outlast the crash. */
    private static final long UNKEYED_DEADLINE_MILLIS = 9_000;

    private static final long SETTLE_MILLIS = 14_000;
    private static final int MAX_FAULT_MILLIS = 6_000;
    private static final double RESEND_SHARE = 0.5;
    private static final double UNKEYED_SHARE = 0.5;
    private static final int CRASHES_PER_TEN_FAULTS = 5;
    private static final long RESEND_DELAY_MILLIS = 1_500;
    private static final int MAX_READY_TRIES = 200;

    private final Workload workload;
    private final Fleet fleet;
    private final Random random;
    private final Random faultRandom;
    private final Map<String, List<CallerOutcome>> filings = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private final Map<String, Integer> faults = new TreeMap<>();
    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
    private final List<Resend> resends = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private Caller caller;
    private volatile boolean crashing;
    private Runnable endFault = () -> {};
    private long faultEndMillis = Long.MAX_VALUE;

    private ProcessSoak(Workload workload, Fleet fleet, long seed) {
        this.workload = workload;
        this.fleet = fleet;
        this.random = new Random(~seed);
        this.faultRandom = new Random(seed);
    }

    /**
     * Starts a fleet, applies load and faults, and checks the invariants.
     *
     * @param home the root folder of the project
     * @param seed the random seed of the faults
     * @param seconds the duration of load and faults
     * @return a description of each violated invariant
     * @throws Exception when the processes can't be started
     */
    public static List<String> run(Path home, long seed, int seconds) throws Exception {
        Workload workload = Workload.read(home.resolve("workloads").resolve("heatwell.ini"));
        try (Fleet fleet = Fleet.start(workload, new FleetOptions(home, "standard", 1))) {
            ProcessSoak soak = new ProcessSoak(workload, fleet, seed);
            soak.caller = Caller.of(
                    workload, fleet.servers().stream().map(Server::entry).toList());
            soak.awaitReady();
            LimitSeries limits = new LimitSeries(fleet, seed);
            Thread series = Thread.startVirtualThread(limits::run);
            soak.load(seconds * 1_000L);
            limits.stop();
            series.join();
            soak.violations.addAll(limits.violations());
            Thread.sleep(SETTLE_MILLIS);
            soak.check();
            soak.caller.close();
            System.out.println("answers " + soak.answers);
            System.out.println("faults " + soak.faults);
            System.out.println(limits);
            int n = soak.faults.values().stream().mapToInt(Integer::intValue).sum();
            System.out.println("soak: seed " + seed + ", " + soak.sent + " requests, " + n + " faults, "
                    + soak.violations.size() + " violations");
            return soak.violations;
        }
    }

    private void awaitReady() throws InterruptedException {
        for (int i = 0; i < MAX_READY_TRIES; i++) {
            AtomicInteger whole = new AtomicInteger();
            for (Server s : fleet.servers()) {
                caller.send(workload.requests().getFirst(), "ready", "", DEADLINE_MILLIS, o -> {
                    if (o instanceof CallerOutcome.Complete) {
                        whole.incrementAndGet();
                    }
                });
            }
            Thread.sleep(GAP_MILLIS * 30);
            if (whole.get() == fleet.servers().size()) {
                return;
            }
        }
        throw new IllegalStateException("the fleet did not become ready");
    }

    private void load(long millis) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + millis;
        long nextFaultMillis = System.currentTimeMillis() + MAX_FAULT_MILLIS / 2;
        while (System.currentTimeMillis() < end) {
            long now = System.currentTimeMillis();
            if (now >= faultEndMillis) {
                faultEndMillis = Long.MAX_VALUE;
                endFault.run();
                nextFaultMillis = now + faultRandom.nextInt(MAX_FAULT_MILLIS);
            }
            if (now >= nextFaultMillis && faultEndMillis == Long.MAX_VALUE) {
                injectFault();
                nextFaultMillis = Long.MAX_VALUE;
            }
            sendOne();
            if (crashing) {
                sendUnkeyed();
            }
            sendDueResends(now);
            TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
        }
        endFault.run();
    }

    private void sendOne() {
        Workload.RequestKind kind =
                workload.requests().get(random.nextInt(workload.requests().size()));
        String id = kind.name() + "-" + sent.incrementAndGet();
        boolean keyed = kind.nonIdempotent() && random.nextDouble() >= UNKEYED_SHARE;
        String key = keyed ? UuidV7.at(System.currentTimeMillis(), random).toString() : "";
        send(kind, id, key);
        if (keyed && random.nextDouble() < RESEND_SHARE) {
            resends.add(new Resend(kind, id, key, System.currentTimeMillis() + RESEND_DELAY_MILLIS));
        }
    }

    /** Sends an extra filing without a key, so that many are in flight when nodes crash. */
    private void sendUnkeyed() {
        workload.requests().stream()
                .filter(Workload.RequestKind::nonIdempotent)
                .findFirst()
                .ifPresent(k -> send(k, k.name() + "-" + sent.incrementAndGet(), ""));
    }

    private void sendDueResends(long now) {
        List<Resend> due = resends.stream().filter(p -> p.atMillis() <= now).toList();
        resends.removeAll(due);
        due.forEach(p -> send(p.kind(), p.id(), p.key()));
    }

    private void send(Workload.RequestKind kind, String id, String key) {
        if (kind.nonIdempotent()) {
            filings.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>());
        }
        long deadline = kind.nonIdempotent() && key.isEmpty() ? UNKEYED_DEADLINE_MILLIS : DEADLINE_MILLIS;
        caller.send(kind, id, key, deadline, outcome -> {
            answers.merge(label(outcome), 1, Integer::sum);
            if (kind.nonIdempotent()) {
                filings.get(id).add(outcome);
            } else if (outcome instanceof CallerOutcome.Lost l && l.reason().startsWith("another body")) {
                answers.merge("WRONG", 1, Integer::sum);
            }
        });
    }

    private void injectFault() throws IOException {
        List<Server> all = fleet.servers();
        Server server = all.get(faultRandom.nextInt(all.size()));
        long length = 500 + faultRandom.nextInt(MAX_FAULT_MILLIS);
        if (faultRandom.nextInt(10) < CRASHES_PER_TEN_FAULTS) {
            crash(length);
            return;
        }
        int kind = faultRandom.nextInt(5);
        switch (kind) {
            case 0 -> fault("kill", length, () -> destroy(server, true), () -> restart(server));
            case 1 -> fault("pause", length, () -> signal(server, "-STOP"), () -> signal(server, "-CONT"));
            case 2 -> fault("restart", length + MAX_FAULT_MILLIS, () -> destroy(server, false), () -> restart(server));
            case 3 -> fault("log outage", length, () -> switchLog("outage=true"), () -> switchLog("outage=false"));
            default -> fault("log slow", length, () -> switchLog("slow-ms=700"), () -> switchLog("slow-ms=0"));
        }
    }

    private void crash(long length) {
        NodeCrashes crashes = NodeCrashes.draw(fleet, faultRandom);
        Thread[] series = new Thread[1];
        fault("crash", length, () -> series[0] = Thread.startVirtualThread(() -> run(crashes)), () -> join(series[0]));
    }

    private void run(NodeCrashes crashes) {
        crashing = true;
        try {
            crashes.run();
        } catch (IOException | IllegalStateException e) {
            violations.add("a series of crashes failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            crashing = false;
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fault(String name, long length, Runnable provoke, Runnable heal) {
        faults.merge(name, 1, Integer::sum);
        provoke.run();
        endFault = () -> {
            heal.run();
            endFault = () -> {};
        };
        faultEndMillis = System.currentTimeMillis() + length;
    }

    private void destroy(Server server, boolean kill) {
        for (Process p : List.of(server.upstream().orElseThrow(), server.node().orElseThrow())) {
            if (kill) {
                p.destroyForcibly();
            } else {
                p.destroy();
            }
        }
    }

    private void restart(Server server) {
        try {
            for (Process p :
                    List.of(server.upstream().orElseThrow(), server.node().orElseThrow())) {
                p.waitFor();
            }
            fleet.restart(server);
        } catch (IOException e) {
            violations.add("restart of " + server.id() + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void signal(Server server, String signal) {
        try {
            Processes.signal(server.node().orElseThrow(), signal);
        } catch (IOException e) {
            violations.add("signal failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void switchLog(String switches) {
        Endpoint log = fleet.log();
        try (BlockingHttpClient client =
                HttpClients.forSingleAddress(log.host(), log.port()).buildBlocking()) {
            client.request(client.put("/switches?" + switches));
        } catch (Exception e) {
            violations.add("the log stand-in did not apply a switch: " + e.getMessage());
        }
    }

    private void check() throws Exception {
        Map<String, Integer> runs = EffectsReader.executionCounts(fleet.log());
        filings.forEach((id, outcomes) -> {
            int n = runs.getOrDefault(id, 0);
            if (n > 1) {
                violations.add("ran " + n + " times: " + id + " " + outcomes);
            }
            boolean allNotRun = !outcomes.isEmpty()
                    && outcomes.stream()
                            .allMatch(o -> o instanceof CallerOutcome.Refused r
                                    && r.runState().equals("not-run"));
            if (allNotRun && n > 0) {
                violations.add("refused as not run but ran: " + id + " " + outcomes);
            }
            boolean whole = outcomes.stream().anyMatch(CallerOutcome.Complete.class::isInstance);
            if (whole && n == 0) {
                violations.add("answered but never ran: " + id);
            }
        });
        if (answers.containsKey("WRONG")) {
            violations.add("wrong bodies: " + answers.get("WRONG"));
        }
    }

    private static String label(CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Complete w -> "whole";
            case CallerOutcome.Refused r -> r.runState() + " " + r.reason();
            case CallerOutcome.Failed f -> "failed " + f.status();
            case CallerOutcome.Lost l -> "connection to a killed or paused entry lost";
        };
    }

    /**
     * A filing that is due to be resent.
     *
     * @param kind the kind of request
     * @param id the request id
     * @param key the idempotency key
     * @param atMillis when it is due, in milliseconds since the epoch
     */
    private record Resend(Workload.RequestKind kind, String id, String key, long atMillis) {}
}
