package org.verbenadyke.bench.real;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.standins.run.Fleet;
import org.verbenadyke.standins.run.Server;

import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.netty.HttpClients;

/**
 * Kills many node processes at the same moment, while their upstreams keep running slowly, and restarts them at the
 * same addresses as soon as they have exited; one or several times in a row.
 */
final class NodeCrashes {
    private static final int MAX_WAVES = 3;
    private static final int MAX_WAVE_GAP_MILLIS = 1_500;
    private static final int MAX_SLOW_FACTOR = 200;
    /** Low enough that some entry nodes survive and can resend the requests that a crashed node had. */
    private static final double MIN_CRASH_SHARE = 0.2;

    private static final double CRASH_SHARE_SPREAD = 0.4;
    private static final int MAX_ANNOUNCE_TRIES = 600;
    private static final long ANNOUNCE_PAUSE_MILLIS = 50;
    private static final int MAX_OK_STATUS = 299;

    private final Fleet fleet;
    private final List<Wave> waves = new ArrayList<>();
    private final int slowFactor;

    private NodeCrashes(Fleet fleet, int slowFactor) {
        this.fleet = fleet;
        this.slowFactor = slowFactor;
    }

    /** Draws a random series of crashes. */
    static NodeCrashes draw(Fleet fleet, Random random) {
        NodeCrashes crashes = new NodeCrashes(fleet, 1 + random.nextInt(MAX_SLOW_FACTOR));
        int n = 1 + random.nextInt(MAX_WAVES);
        double share = MIN_CRASH_SHARE + CRASH_SHARE_SPREAD * random.nextDouble();
        for (int i = 0; i < n; i++) {
            long pause = random.nextInt(MAX_WAVE_GAP_MILLIS);
            List<Server> hit = fleet.servers().stream()
                    .filter(s -> random.nextDouble() < share)
                    .toList();
            crashes.waves.add(new Wave(pause, hit));
        }
        return crashes;
    }

    /** Runs the series; returns when every node has restarted and has its upstream announced. */
    void run() throws IOException, InterruptedException {
        fleet.servers().forEach(s -> slow(s, slowFactor));
        for (Wave wave : waves) {
            Thread.sleep(wave.pauseMillis);
            List<Process> nodes =
                    wave.servers.stream().map(s -> s.node().orElseThrow()).toList();
            nodes.forEach(Process::destroyForcibly);
            for (Process node : nodes) {
                node.waitFor();
            }
            for (Server server : wave.servers) {
                fleet.restartNode(server);
            }
            for (Server server : wave.servers) {
                announce(server);
            }
        }
        fleet.servers().forEach(s -> slow(s, 1));
    }

    private static void slow(Server server, int factor) {
        if (!server.service().equals("permit-desk")) {
            return;
        }
        try (BlockingHttpClient client = client(server.address())) {
            client.request(client.put("/switches?slow=" + factor));
        } catch (Exception e) {
            throw new IllegalStateException("the upstream of " + server.id() + " did not apply the slow switch", e);
        }
    }

    /** Announces an upstream to the new process of its node. */
    private static void announce(Server server) throws InterruptedException {
        String body = "{\"service\":\"" + server.service() + "\",\"address\":\"" + server.address() + "\"}";
        for (int i = 0; i < MAX_ANNOUNCE_TRIES; i++) {
            try (BlockingHttpClient client = client(server.local())) {
                HttpRequest request = client.put("/.verbenadyke/upstream")
                        .payloadBody(client.executionContext().bufferAllocator().fromUtf8(body));
                if (client.request(request).status().code() <= MAX_OK_STATUS) {
                    return;
                }
            } catch (Exception e) {
                // The process doesn't listen yet; the next try follows after a pause.
            }
            Thread.sleep(ANNOUNCE_PAUSE_MILLIS);
        }
        throw new IllegalStateException("the node of " + server.id() + " did not restart");
    }

    private static BlockingHttpClient client(Endpoint endpoint) {
        return HttpClients.forSingleAddress(endpoint.host(), endpoint.port()).buildBlocking();
    }

    /**
     * Nodes that are killed at the same moment.
     *
     * @param pauseMillis the pause after the previous wave, in milliseconds
     * @param servers the servers whose nodes are killed
     */
    private record Wave(long pauseMillis, List<Server> servers) {}
}
