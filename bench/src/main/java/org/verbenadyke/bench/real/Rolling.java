package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutionException;
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

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.netty.HttpClients;

/**
 * Replaces every server of a fleet under load, one after the other, with graceful stops. Callers don't use the entry
 * node that is being replaced, as with a load balancer of their own.
 */
public final class Rolling {
    private static final long GAP_MILLIS = 8;
    private static final long DEADLINE_MILLIS = 3_000;
    private static final long SETTLE_MILLIS = 2_500;
    private static final long MAX_STOP_SECONDS = 30;
    private static final int MAX_READY_TRIES = 100;
    private static final long READY_PAUSE_MILLIS = 100;

    private final Workload workload;
    private final Fleet fleet;
    private final Random random;
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile Caller caller;
    private volatile boolean done;

    private Rolling(Workload workload, Fleet fleet, long seed) {
        this.workload = workload;
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    /**
     * Runs the measurement.
     *
     * @param home the root folder of the project
     * @param name heatwell or marrowgate
     * @param seed the random seed of the requests
     * @return the figures by name
     * @throws Exception when the processes can't be started
     */
    public static Map<String, Object> run(Path home, String name, long seed) throws Exception {
        Workload workload = Workload.read(home.resolve("workloads").resolve(name + ".ini"));
        try (Fleet fleet = Fleet.start(workload, new FleetOptions(home, "standard", 1))) {
            return new Rolling(workload, fleet, seed).run();
        }
    }

    private Map<String, Object> run() throws Exception {
        caller = callerWithout(null);
        for (Server server : fleet.servers()) {
            awaitReady(server);
        }
        Thread load = new Thread(this::load);
        load.start();
        for (Server server : fleet.servers()) {
            replace(server);
        }
        done = true;
        load.join();
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("replaced", fleet.servers().size());
        figures.put("sent", sent.get());
        figures.put("answers", answers);
        figures.put(
                "doubled",
                EffectsReader.executionCounts(fleet.log()).values().stream()
                        .filter(n -> n > 1)
                        .count());
        return figures;
    }

    private void replace(Server server) throws IOException, InterruptedException {
        caller = callerWithout(server);
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        Process upstream = server.upstream().orElseThrow();
        Process node = server.node().orElseThrow();
        upstream.destroy();
        upstream.waitFor(MAX_STOP_SECONDS, TimeUnit.SECONDS);
        node.destroy();
        node.waitFor(MAX_STOP_SECONDS, TimeUnit.SECONDS);
        fleet.restart(server);
        awaitReady(server);
    }

    /** Waits until the node's status shows its upstream, as an operator does, and then for the gossip to settle. */
    private void awaitReady(Server server) throws InterruptedException {
        Endpoint control = server.control();
        try (HttpClient client =
                HttpClients.forSingleAddress(control.host(), control.port()).build()) {
            for (int i = 0; i < MAX_READY_TRIES; i++) {
                TimeUnit.MILLISECONDS.sleep(READY_PAUSE_MILLIS);
                if (ready(client)) {
                    break;
                }
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    }

    private boolean ready(HttpClient client) {
        try {
            String status = client.request(client.get("/status"))
                    .toFuture()
                    .get()
                    .payloadBody()
                    .toString(StandardCharsets.UTF_8);
            return status.contains("\"upstream\":{");
        } catch (ExecutionException | InterruptedException e) {
            return false;
        }
    }

    private Caller callerWithout(Server server) {
        List<Endpoint> entries = fleet.servers().stream()
                .filter(s -> s != server)
                .map(Server::entry)
                .toList();
        return Caller.of(workload, entries);
    }

    private void load() {
        while (!done) {
            Workload.RequestKind kind =
                    workload.requests().get(random.nextInt(workload.requests().size()));
            String id = kind.name() + "-" + sent.incrementAndGet();
            String key = kind.nonIdempotent()
                    ? UuidV7.at(System.currentTimeMillis(), random).toString()
                    : "";
            caller.send(kind, id, key, DEADLINE_MILLIS, o -> answers.merge(label(o), 1, Integer::sum));
            try {
                TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static String label(CallerOutcome outcome) {
        return switch (outcome) {
            case CallerOutcome.Complete w -> "whole";
            case CallerOutcome.Refused r -> r.runState() + " " + r.reason();
            case CallerOutcome.Failed f -> "failed " + f.status();
            case CallerOutcome.Lost l -> "lost: " + l.reason();
        };
    }
}
