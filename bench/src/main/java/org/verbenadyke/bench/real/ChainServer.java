package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.verbenadyke.bench.retry.RepetitionCounts;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.http1.HttpExchange;
import org.verbenadyke.node.http1.HttpServer;
import org.verbenadyke.node.http1.ServerLimits;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.NodePorts;

/**
 * A server beside a node that calls another service several times for each request, one call after the other, and goes
 * on with a run whose caller has left.
 */
final class ChainServer implements AutoCloseable {
    private static final ServerLimits LIMITS = new ServerLimits(16 * 1024, 1024 * 1024, 60_000_000_000L);
    private static final AtomicLong CALLS = new AtomicLong();
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long WORK_MILLIS = 5;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;

    private final String id;
    private final String service;
    private final NodeProcess node;
    private final List<String> calledPaths;
    private final RepetitionCounts counts;
    private final Function<String, Outcome> outcomes;
    private final Endpoint address = NodePorts.freeEndpoint();
    private final AtomicInteger reports = new AtomicInteger();
    private final long startedMillis = System.currentTimeMillis();
    private volatile boolean running = true;
    private HttpServer server;

    private ChainServer(
            String service,
            NodeProcess node,
            List<String> calledPaths,
            RepetitionCounts counts,
            Function<String, Outcome> outcomes) {
        this.id = node.id() + "-server";
        this.service = service;
        this.node = node;
        this.calledPaths = calledPaths;
        this.counts = counts;
        this.outcomes = outcomes;
    }

    /**
     * Starts a server, and its reports.
     *
     * @param service its service
     * @param node the node beside it
     * @param calledPaths the paths that each run calls, none for the last service of a chain
     * @param counts counts the arrivals
     * @param outcomes decides what becomes of the runs of a service
     * @param loops the event loops that serve connections
     * @return the server
     */
    static ChainServer start(
            String service,
            NodeProcess node,
            List<String> calledPaths,
            RepetitionCounts counts,
            Function<String, Outcome> outcomes,
            EventLoops loops) {
        ChainServer started = new ChainServer(service, node, calledPaths, counts, outcomes);
        started.server = HttpServer.listen(
                started.address,
                loops,
                EventLoopTimerService.on(loops.group().next()),
                () -> LIMITS,
                e -> Thread.startVirtualThread(() -> started.run(e)));
        Thread.startVirtualThread(started::reportAgainAndAgain);
        return started;
    }

    private void run(HttpExchange exchange) {
        String requestId = exchange.request().field("x-request-id").orElse("");
        boolean repeated = counts.arrived(service, requestId, System.nanoTime());
        Outcome outcome = outcomes.apply(service);
        if (outcome == Outcome.REJECTED) {
            exchange.answer(
                    UNAVAILABLE, List.of(field(requestId), new HeaderField("x-not-executed", "1")), new byte[0]);
            return;
        }
        boolean called = work() && calledPaths.stream().allMatch(p -> call(p, requestId, repeated));
        if (outcome == Outcome.LOST) {
            exchange.abort();
            return;
        }
        exchange.answer(
                called && outcome == Outcome.ANSWERED ? OK : FAILED,
                List.of(field(requestId), new HeaderField("x-server-signature", "signed")),
                requestId.getBytes(StandardCharsets.UTF_8));
    }

    private static boolean work() {
        try {
            Thread.sleep(WORK_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private boolean call(String path, String requestId, boolean repeated) {
        String callId = requestId + "." + CALLS.incrementAndGet();
        if (repeated) {
            counts.calledByRepetition(callId);
        }
        try {
            return node.client()
                            .send("GET", RetryProcessSoak.HOST, path, callId, DEADLINE_MILLIS)
                            .statusCode()
                    == OK;
        } catch (IOException e) {
            // The node is being killed or started; the run fails.
            return false;
        }
    }

    private static HeaderField field(String requestId) {
        return new HeaderField("x-request-id", requestId);
    }

    private void reportAgainAndAgain() {
        try {
            while (running) {
                report();
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void report() {
        try {
            node.client()
                    .report(id, Documents.report(service, address, "ready", reports.incrementAndGet(), startedMillis));
        } catch (IOException e) {
            // The node is being killed or started; the next report follows.
            return;
        }
    }

    @Override
    public void close() {
        running = false;
        server.close();
    }

    /**
     * What becomes of a run.
     */
    enum Outcome {
        /** It is answered. */
        ANSWERED,
        /** It is answered with a failure. */
        FAILED,
        /** Its connection is closed in place of an answer. */
        LOST,
        /** It is refused as not run. */
        REJECTED
    }
}
