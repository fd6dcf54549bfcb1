package org.verbenadyke.bench.real;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.standins.run.Fleet;
import org.verbenadyke.standins.run.Server;

import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;

/**
 * Lets one upstream after the other name a rate limit, while other faults go on, and collects what the upstreams saw.
 * An upstream that is killed meanwhile has nothing to tell.
 */
final class LimitSeries {
    private static final Logger LOG = LogManager.getLogger("soak");
    private static final double[] LIMITS = {0, 0.5, 3, 10};
    private static final long LIMIT_MILLIS = 8_000;
    private static final long PAUSE_MILLIS = 1_500;
    private static final int OK = 200;

    private final Fleet fleet;
    private final Random random;
    private final List<String> violations = new ArrayList<>();
    private int named;
    private int checked;
    private volatile boolean stopped;

    LimitSeries(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    /** Names limits until {@link #stop} is called. */
    void run() {
        try {
            while (!stopped) {
                Server server =
                        fleet.servers().get(random.nextInt(fleet.servers().size()));
                nameOne(server.address(), LIMITS[random.nextInt(LIMITS.length)]);
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void stop() {
        stopped = true;
    }

    /** Returns each arrival over a limit that an upstream saw. */
    List<String> violations() {
        return violations;
    }

    @Override
    public String toString() {
        return "limits named " + named + ", seen to the end " + checked;
    }

    private void nameOne(Endpoint upstream, double perSecond) throws InterruptedException {
        try (BlockingHttpClient client =
                HttpClients.forSingleAddress(upstream.host(), upstream.port()).buildBlocking()) {
            client.request(client.put("/switches?limit=" + perSecond));
            named++;
            Thread.sleep(LIMIT_MILLIS);
            HttpResponse seen = client.request(client.get("/arrivals"));
            if (seen.status().code() == OK) {
                checked++;
                seen.payloadBody()
                        .toString(StandardCharsets.UTF_8)
                        .lines()
                        .forEach(l -> violations.add(upstream + ": " + l));
            }
            client.request(client.put("/switches?limit="));
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            LOG.info("The upstream at {} was not there to the end of its limit: {}.", upstream, e.getMessage());
        }
    }
}
