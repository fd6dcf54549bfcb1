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
 * Kills many node processes at once, beside upstreams that go on and work slowly, and starts them again at the same
 * addresses as soon as they are gone; once or several times in a row.
 */
final class NodeCrashes {
    private static final int WAVES_MOST = 3;
    private static final int WAVE_GAP_MILLIS = 1_500;
    private static final int SLOWEST = 200;
    /** Few enough that entries survive and can send on what a crashed node had. */
    private static final double SHARE_LEAST = 0.2;

    private static final double SHARE_SPREAD = 0.4;
    private static final int ANNOUNCE_TRIES = 600;
    private static final long ANNOUNCE_PAUSE_MILLIS = 50;
    private static final int OK_MOST = 299;

    private final Fleet fleet;
    private final List<Wave> waves = new ArrayList<>();
    private final int slow;

    private NodeCrashes(Fleet fleet, int slow) {
        this.fleet = fleet;
        this.slow = slow;
    }

    /** Draws a series. */
    static NodeCrashes draw(Fleet fleet, Random random) {
        NodeCrashes crashes = new NodeCrashes(fleet, 1 + random.nextInt(SLOWEST));
        int n = 1 + random.nextInt(WAVES_MOST);
        double share = SHARE_LEAST + SHARE_SPREAD * random.nextDouble();
        for (int i = 0; i < n; i++) {
            long pause = random.nextInt(WAVE_GAP_MILLIS);
            List<Server> hit = fleet.servers().stream()
                    .filter(s -> random.nextDouble() < share)
                    .toList();
            crashes.waves.add(new Wave(pause, hit));
        }
        return crashes;
    }

    /** Runs the series; ends when every node was started again and knows its upstream. */
    void run() throws IOException, InterruptedException {
        fleet.servers().forEach(s -> slow(s, slow));
        for (Wave wave : waves) {
            Thread.sleep(wave.pauseMillis);
            List<Process> nodes =
                    wave.hit.stream().map(s -> s.node().orElseThrow()).toList();
            nodes.forEach(Process::destroyForcibly);
            for (Process node : nodes) {
                node.waitFor();
            }
            for (Server server : wave.hit) {
                fleet.restartNode(server);
            }
            for (Server server : wave.hit) {
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
            throw new IllegalStateException("the upstream of " + server.id() + " took no switch", e);
        }
    }

    /** Announces an upstream to the new process of its node. */
    private static void announce(Server server) throws InterruptedException {
        String body = "{\"service\":\"" + server.service() + "\",\"address\":\"" + server.address() + "\"}";
        for (int i = 0; i < ANNOUNCE_TRIES; i++) {
            try (BlockingHttpClient client = client(server.local())) {
                HttpRequest request = client.put("/.verbenadyke/upstream")
                        .payloadBody(client.executionContext().bufferAllocator().fromUtf8(body));
                if (client.request(request).status().code() <= OK_MOST) {
                    return;
                }
            } catch (Exception e) {
                // The process doesn't listen yet.
            }
            Thread.sleep(ANNOUNCE_PAUSE_MILLIS);
        }
        throw new IllegalStateException("the node of " + server.id() + " did not come back");
    }

    private static BlockingHttpClient client(Endpoint endpoint) {
        return HttpClients.forSingleAddress(endpoint.host(), endpoint.port()).buildBlocking();
    }

    /**
     * Nodes that are killed at the same moment.
     *
     * @param pauseMillis how long after the wave before, in milliseconds
     * @param hit the servers whose nodes are killed
     */
    private record Wave(long pauseMillis, List<Server> hit) {}
}
