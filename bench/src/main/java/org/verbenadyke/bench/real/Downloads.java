package org.verbenadyke.bench.real;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.standins.run.Fleet;
import org.verbenadyke.standins.run.FleetOptions;
import org.verbenadyke.standins.run.Server;
import org.verbenadyke.standins.run.Workload;

import io.servicetalk.http.api.StreamingHttpClient;

/**
 * Measures lookups through two nodes, alone and while large answers share the connections between the nodes.
 */
public final class Downloads {
    private static final int LOOKUPS_PER_SECOND = 200;
    private static final int DOWNLOADS_PER_SECOND = 20;
    private static final int SECONDS = 8;
    private static final int WARM_UP_RATE = 1_000;
    private static final int WARM_UP_REQUESTS = 8_000;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;
    private static final String LOOKUP = "/survey-view/survey?id=1";
    private static final String DOWNLOAD = "/survey-view/download?id=1&size=2000000";

    private Downloads() {}

    /**
     * Runs the measurement.
     *
     * @param home the root folder of the project
     * @return the figures by name
     * @throws Exception when the processes can't be started
     */
    public static Map<String, Object> run(Path home) throws Exception {
        Workload workload = new Workload("downloads", "r", List.of("dc-1"), Overhead.twoServers(), List.of());
        Map<String, Object> figures = new LinkedHashMap<>();
        try (Fleet fleet = Fleet.start(workload, new FleetOptions(home, "standard", 1))) {
            Server entryServer = fleet.servers("edge").getFirst();
            StreamingHttpClient client = Overhead.client(entryServer.entry());
            StreamingHttpClient downloadClient = Overhead.client(entryServer.entry());
            Overhead.awaitReady(client);
            new OpenLoop().run(client, LOOKUP, WARM_UP_RATE, WARM_UP_REQUESTS);
            OpenLoop alone = new OpenLoop();
            alone.run(client, LOOKUP, LOOKUPS_PER_SECOND, LOOKUPS_PER_SECOND * SECONDS);
            put(figures, "lookups alone", alone);
            OpenLoop duringDownloads = new OpenLoop();
            OpenLoop downloads = new OpenLoop();
            Thread downloader = new Thread(() -> download(downloads, downloadClient));
            downloader.start();
            duringDownloads.run(client, LOOKUP, LOOKUPS_PER_SECOND, LOOKUPS_PER_SECOND * SECONDS);
            downloader.join();
            put(figures, "lookups beside downloads", duringDownloads);
            put(figures, "downloads of 2 MB", downloads);
            entryServer.node().ifPresent(p -> figures.put("entry.peakMb", Processes.peakBytes(p) / BYTES_PER_MB));
        }
        return figures;
    }

    private static void download(OpenLoop downloads, StreamingHttpClient client) {
        try {
            downloads.run(client, DOWNLOAD, DOWNLOADS_PER_SECOND, DOWNLOADS_PER_SECOND * SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void put(Map<String, Object> figures, String name, OpenLoop loop) {
        figures.put(name + ".p50Ms", loop.micros().getValueAtPercentile(50) / MICROS_PER_MILLI);
        figures.put(name + ".p99Ms", loop.micros().getValueAtPercentile(99) / MICROS_PER_MILLI);
        figures.put(name + ".failed", loop.failed());
    }
}
