package org.verbenadyke.standins.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.standins.caller.Caller;
import org.verbenadyke.standins.caller.CallerOutcome;
import org.verbenadyke.standins.caller.EffectsReader;

/**
 * Sends the requests of a quickstart, injects a crash and a drain, and counts the outcomes.
 */
final class QuickstartRun {
    private static final int REQUESTS = 2_000;
    private static final int CRASH_AT_REQUEST = 800;
    private static final int DRAIN_AT_REQUEST = 1_200;
    private static final long REQUEST_INTERVAL_MICROS = 5_000;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int MAX_READY_ATTEMPTS = 300;
    private static final long READY_PAUSE_MILLIS = 100;
    private static final int READY_STREAK = 8;
    private static final long SEED = 7;
    private static final int MAX_LOST_PRINTED = 5;

    private final Workload workload;
    private final Fleet fleet;
    private final Caller caller;
    private final Random random = new Random(SEED);
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final Map<String, CallerOutcome> nonIdempotentOutcomes = new ConcurrentHashMap<>();
    private final Map<String, Integer> refusalsByReason = new ConcurrentSkipListMap<>();
    private int duplicated;

    private QuickstartRun(Workload workload, Fleet fleet, Caller caller) {
        this.workload = workload;
        this.fleet = fleet;
        this.caller = caller;
    }

    static QuickstartRun of(Workload workload, Fleet fleet, Caller caller) {
        return new QuickstartRun(workload, fleet, caller);
    }

    /** Waits until all nodes know all upstreams and each node in turn answers every kind of idempotent request. */
    void awaitReady() throws InterruptedException {
        if (!FleetReadiness.of(fleet.servers()).await()) {
            System.out.println("not every node knows every upstream yet; more requests than usual may be refused");
        }
        for (Workload.RequestKind kind : workload.requests()) {
            if (kind.nonIdempotent()) {
                continue;
            }
            int streak = 0;
            for (int i = 0; i < MAX_READY_ATTEMPTS && streak < READY_STREAK; i++) {
                streak = probe(kind) ? streak + 1 : 0;
                if (streak == 0) {
                    Thread.sleep(READY_PAUSE_MILLIS);
                }
            }
        }
    }

    void load(Server crashingServer) throws Exception {
        CountDownLatch pending = new CountDownLatch(REQUESTS);
        Server drainingServer = fleet.servers().get(fleet.servers().size() - 3);
        for (int i = 0; i < REQUESTS; i++) {
            if (i == CRASH_AT_REQUEST) {
                System.out.println("killing " + crashingServer.id());
                crashingServer.upstream().ifPresent(Process::destroyForcibly);
                crashingServer.node().ifPresent(Process::destroyForcibly);
            }
            if (i == DRAIN_AT_REQUEST) {
                System.out.println("draining " + drainingServer.id());
                drainingServer.upstream().ifPresent(Process::destroy);
            }
            sendOne(i, pending);
            TimeUnit.MICROSECONDS.sleep(REQUEST_INTERVAL_MICROS);
        }
        pending.await(20, TimeUnit.SECONDS);
        verifyExecutions((int) pending.getCount());
    }

    boolean passed() {
        return lost.get() == 0 && duplicated == 0;
    }

    String summary() {
        refusalsByReason.forEach((reason, n) -> System.out.println("refused " + n + ": " + reason));
        return "quickstart: " + REQUESTS + " sent, " + complete + " whole answers, " + refused + " refused, " + lost
                + " lost, " + duplicated + " doubled";
    }

    private boolean probe(Workload.RequestKind kind) throws InterruptedException {
        CountDownLatch latch = new CountDownLatch(1);
        List<CallerOutcome> outcomes = new ArrayList<>();
        caller.send(kind, "ready", "", DEADLINE_MILLIS, o -> {
            outcomes.add(o);
            latch.countDown();
        });
        return latch.await(DEADLINE_MILLIS * 2, TimeUnit.MILLISECONDS)
                && outcomes.get(0) instanceof CallerOutcome.Complete;
    }

    private void sendOne(int i, CountDownLatch pending) {
        Workload.RequestKind kind = drawRequestKind();
        String id = kind.name() + "-" + i;
        String key = kind.nonIdempotent()
                ? UuidV7.at(System.currentTimeMillis(), random).toString()
                : "";
        caller.send(kind, id, key, DEADLINE_MILLIS, outcome -> {
            recordOutcome(kind, id, outcome);
            pending.countDown();
        });
    }

    private void recordOutcome(Workload.RequestKind kind, String id, CallerOutcome outcome) {
        if (kind.nonIdempotent()) {
            nonIdempotentOutcomes.put(id, outcome);
        }
        switch (outcome) {
            case CallerOutcome.Complete w -> complete.incrementAndGet();
            case CallerOutcome.Refused r -> countRefusal(r.runState() + ", " + r.reason());
            case CallerOutcome.Failed f -> countRefusal("status " + f.status());
            case CallerOutcome.Lost l -> {
                if (lost.incrementAndGet() <= MAX_LOST_PRINTED) {
                    System.out.println("lost " + id + ": " + l.reason());
                }
            }
        }
    }

    private void countRefusal(String reason) {
        refused.incrementAndGet();
        refusalsByReason.merge(reason, 1, Integer::sum);
    }

    /** Compares the outcome reported for each non-idempotent request with the number of executions. */
    private void verifyExecutions(int unanswered) throws Exception {
        lost.addAndGet(unanswered);
        Map<String, Integer> runs = EffectsReader.executionCounts(fleet.log());
        nonIdempotentOutcomes.forEach((id, outcome) -> {
            int n = runs.getOrDefault(id, 0);
            if (n > 1) {
                duplicated++;
                System.out.println("ran " + n + " times: " + id);
            }
            boolean notRun =
                    outcome instanceof CallerOutcome.Refused r && r.runState().equals("not-run");
            if (n > 0 && notRun || n == 0 && outcome instanceof CallerOutcome.Complete) {
                lost.incrementAndGet();
                System.out.println("reported " + outcome + " but ran " + n + " times: " + id);
            }
        });
    }

    private Workload.RequestKind drawRequestKind() {
        int total = workload.requests().stream()
                .mapToInt(Workload.RequestKind::share)
                .sum();
        int n = random.nextInt(total);
        for (Workload.RequestKind kind : workload.requests()) {
            n -= kind.share();
            if (n < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("no requests in the workload");
    }
}
