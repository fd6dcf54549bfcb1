package org.verbenadyke.standins.upstream;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/**
 * Command line of a stand-in upstream. Announces the upstream until its colocated node accepts the announcement, and
 * drains before the process exits.
 */
public final class UpstreamMain {
    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final int MAX_DRAIN_POLLS = 100;

    private UpstreamMain() {}

    /**
     * Runs the upstream until the process is stopped.
     *
     * @param args the path of the settings file
     * @throws Exception if the address can't be bound
     */
    public static void main(String[] args) throws Exception {
        UpstreamStandIn upstream = UpstreamStandIn.start(UpstreamSettings.read(Path.of(args[0])));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndClose(upstream)));
        while (!upstream.announce()) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        new CountDownLatch(1).await();
    }

    private static void drainAndClose(UpstreamStandIn upstream) {
        try {
            upstream.drain();
            for (int i = 0; i < MAX_DRAIN_POLLS && upstream.activeAndQueuedCalls() > 0; i++) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (Exception e) {
            System.err.println("Draining failed: " + e.getMessage());
        }
        upstream.close();
    }
}
