package org.verbenadyke.standins.upstream;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/**
 * Runs a stand-in upstream as a process: announces itself until the node beside it takes it, and drains before it ends.
 */
public final class UpstreamMain {
    private static final long PAUSE_MILLIS = 200;
    private static final int DRAIN_PAUSES_MOST = 100;

    private UpstreamMain() {}

    /**
     * Runs the upstream.
     *
     * @param args the settings file
     * @throws Exception when it can't listen
     */
    public static void main(String[] args) throws Exception {
        UpstreamStandIn upstream = UpstreamStandIn.start(UpstreamSettings.read(Path.of(args[0])));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(upstream)));
        while (!upstream.announce()) {
            Thread.sleep(PAUSE_MILLIS);
        }
        new CountDownLatch(1).await();
    }

    private static void leave(UpstreamStandIn upstream) {
        try {
            upstream.drain();
            for (int i = 0; i < DRAIN_PAUSES_MOST && upstream.load() > 0; i++) {
                Thread.sleep(PAUSE_MILLIS);
            }
            Thread.sleep(PAUSE_MILLIS);
        } catch (Exception e) {
            System.err.println("Draining failed: " + e.getMessage());
        }
        upstream.close();
    }
}
