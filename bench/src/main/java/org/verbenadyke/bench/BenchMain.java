package org.verbenadyke.bench;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

import org.verbenadyke.bench.decisions.Decisions;
import org.verbenadyke.bench.lab.Scenarios;
import org.verbenadyke.bench.real.Downloads;
import org.verbenadyke.bench.real.Overhead;
import org.verbenadyke.bench.real.Rolling;

import com.fasterxml.jackson.databind.ObjectMapper;

import picocli.CommandLine;

/**
 * Runs one measurement and prints its figures. The last line is a JSON object.
 */
@CommandLine.Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        version = "bench 0.1.0",
        description = "Measures one scenario and, if it has one, its baseline in the same run.")
public final class BenchMain implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int USAGE = 2;

    @CommandLine.Parameters(paramLabel = "NAME", description = "The scenario, or list to name them all.")
    private String name;

    @CommandLine.Option(
            names = "--seed",
            defaultValue = "1",
            description = "The random seed; the same seed repeats the run.")
    private long seed;

    @CommandLine.Option(names = "--workload", defaultValue = "heatwell", description = "heatwell or marrowgate.")
    private String workload;

    @CommandLine.Option(names = "--io-threads", defaultValue = "1", description = "I/O threads of a node.")
    private int ioThreads;

    private BenchMain() {}

    /**
     * Runs the tool.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new BenchMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        Map<String, Scenario> scenarios = scenarios();
        if (name.equals("list")) {
            scenarios.forEach((n, s) -> System.out.println(n + "  " + s.description()));
            return 0;
        }
        Scenario scenario = scenarios.get(name);
        if (scenario == null) {
            System.err.println("No scenario named " + name + ". Known: " + scenarios.keySet() + ".");
            return USAGE;
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("scenario", name);
        figures.put("seed", seed);
        figures.putAll(scenario.work().run(workload, seed));
        figures.forEach((k, v) -> System.out.println(k + ": " + v));
        System.out.println(JSON.writeValueAsString(figures));
        return 0;
    }

    private Map<String, Scenario> scenarios() {
        Map<String, Scenario> all = new LinkedHashMap<>();
        all.put("surge", new Scenario("twice the capacity while the deepest service is slow", Scenarios::surge));
        all.put("deep", new Scenario("chains 3, 5 and 19 deep whose services fail", Scenarios::deep));
        all.put("silent", new Scenario("connections that silently stop carrying data", Scenarios::silent));
        all.put("kill", new Scenario("filings while nodes are killed, paused and resumed", Scenarios::kill));
        all.put("drain", new Scenario("how long a draining upstream still receives calls", Scenarios::drain));
        all.put("config", new Scenario("how long a change takes to be in force everywhere", Scenarios::config));
        all.put("outage", new Scenario("goodput through an outage of the log", Scenarios::outage));
        all.put(
                "overhead",
                new Scenario("latency that two nodes add to a call", (w, s) -> Overhead.run(home(), ioThreads)));
        all.put(
                "download",
                new Scenario("lookups while large answers share their connections", (w, s) -> Downloads.run(home())));
        all.put("rolling", new Scenario("every server replaced under load", (w, s) -> Rolling.run(home(), w, s)));
        all.put("capacity", new Scenario("how control traffic grows with nodes and events", Scenarios::capacity));
        all.put("decisions", new Scenario("time and allocated bytes of single decisions", (w, s) -> Decisions.run()));
        return all;
    }

    private static Path home() {
        return Path.of(System.getenv("VERBENADYKE_HOME"));
    }

    /**
     * One measurement.
     *
     * @param description what it measures
     * @param work runs the measurement
     */
    private record Scenario(String description, Work work) {}

    /** Runs a measurement and returns its figures by name. */
    @FunctionalInterface
    private interface Work {
        Map<String, Object> run(String workload, long seed) throws Exception;
    }
}
