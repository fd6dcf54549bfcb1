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
 * The requests of one quickstart and what came of them.
 */
final class QuickstartRun {
    private static final int REQUESTS = 2_000;
    private static final int KILL_AT = 800;
    private static final int DRAIN_AT = 1_200;
    private static final long GAP_MICROS = 5_000;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final int READY_TRIES_MOST = 300;
    private static final long READY_PAUSE_MILLIS = 100;
    private static final int READY_IN_ROW = 8;
    private static final long SEED = 7;
    private static final int LOST_SHOWN = 5;

    private final Workload workload;
    private final Fleet fleet;
    private final Caller caller;
    private final Random random = new Random(SEED);
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final Map<String, CallerOutcome> filings = new ConcurrentHashMap<>();
    private final Map<String, Integer> reasons = new ConcurrentSkipListMap<>();
    private int doubled;

    private QuickstartRun(Workload workload, Fleet fleet, Caller caller) {
        this.workload = workload;
        this.fleet = fleet;
        this.caller = caller;
    }

    static QuickstartRun of(Workload workload, Fleet fleet, Caller caller) {
        return new QuickstartRun(workload, fleet, caller);
    }

    /** Waits until all upstreams are known and each node in turn gets every kind of idempotent request answered. */
    void awaitReady() throws InterruptedException {
        if (!FleetReadiness.of(fleet.servers()).await()) {
            System.out.println("not every upstream is known everywhere; more requests may be refused than else");
        }
        for (Workload.RequestKind kind : workload.requests()) {
            if (kind.once()) {
                continue;
            }
            int inRow = 0;
            for (int i = 0; i < READY_TRIES_MOST && inRow < READY_IN_ROW; i++) {
                inRow = probe(kind) ? inRow + 1 : 0;
                if (inRow == 0) {
                    Thread.sleep(READY_PAUSE_MILLIS);
                }
            }
        }
    }

    void load(Server victim) throws Exception {
        CountDownLatch open = new CountDownLatch(REQUESTS);
        Server leaving = fleet.servers().get(fleet.servers().size() - 3);
        for (int i = 0; i < REQUESTS; i++) {
            if (i == KILL_AT) {
                System.out.println("killing " + victim.id());
                victim.upstream().ifPresent(Process::destroyForcibly);
                victim.node().ifPresent(Process::destroyForcibly);
            }
            if (i == DRAIN_AT) {
                System.out.println("draining " + leaving.id());
                leaving.upstream().ifPresent(Process::destroy);
            }
            sendOne(i, open);
            TimeUnit.MICROSECONDS.sleep(GAP_MICROS);
        }
        open.await(20, TimeUnit.SECONDS);
        check((int) open.getCount());
    }

    boolean clean() {
        return lost.get() == 0 && doubled == 0;
    }

    String summary() {
        reasons.forEach((why, n) -> System.out.println("refused " + n + ": " + why));
        return "quickstart: " + REQUESTS + " sent, " + whole + " whole answers, " + refused + " refused, " + lost
                + " lost, " + doubled + " doubled";
    }

    private boolean probe(Workload.RequestKind kind) throws InterruptedException {
        CountDownLatch latch = new CountDownLatch(1);
        List<CallerOutcome> got = new ArrayList<>();
        caller.send(kind, "ready", "", DEADLINE_MILLIS, o -> {
            got.add(o);
            latch.countDown();
        });
        return latch.await(DEADLINE_MILLIS * 2, TimeUnit.MILLISECONDS) && got.get(0) instanceof CallerOutcome.Whole;
    }

    private void sendOne(int i, CountDownLatch open) {
        Workload.RequestKind kind = draw();
        String id = kind.name() + "-" + i;
        String key = kind.once() ? UuidV7.at(System.currentTimeMillis(), random).toString() : "";
        caller.send(kind, id, key, DEADLINE_MILLIS, outcome -> {
            note(kind, id, outcome);
            open.countDown();
        });
    }

    private void note(Workload.RequestKind kind, String id, CallerOutcome outcome) {
        if (kind.once()) {
            filings.put(id, outcome);
        }
        switch (outcome) {
            case CallerOutcome.Whole w -> whole.incrementAndGet();
            case CallerOutcome.Refused r -> refuse(r.runState() + ", " + r.reason());
            case CallerOutcome.Failed f -> refuse("status " + f.status());
            case CallerOutcome.Lost l -> {
                if (lost.incrementAndGet() <= LOST_SHOWN) {
                    System.out.println("lost " + id + ": " + l.why());
                }
            }
        }
    }

    private void refuse(String why) {
        refused.incrementAndGet();
        reasons.merge(why, 1, Integer::sum);
    }

    /** Compares what callers were told of each filing with how often it ran. */
    private void check(int unanswered) throws Exception {
        lost.addAndGet(unanswered);
        Map<String, Integer> runs = EffectsReader.runs(fleet.log());
        filings.forEach((id, outcome) -> {
            int n = runs.getOrDefault(id, 0);
            if (n > 1) {
                doubled++;
                System.out.println("ran " + n + " times: " + id);
            }
            boolean notRun =
                    outcome instanceof CallerOutcome.Refused r && r.runState().equals("not-run");
            if (n > 0 && notRun || n == 0 && outcome instanceof CallerOutcome.Whole) {
                lost.incrementAndGet();
                System.out.println("told " + outcome + " but ran " + n + " times: " + id);
            }
        });
    }

    private Workload.RequestKind draw() {
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
