package org.verbenadyke.standins.run;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.standins.caller.Caller;

import picocli.CommandLine;

/**
 * Command line of the quickstart: starts a workload with its nodes as processes, sends requests while a server crashes
 * and another one drains, verifies every answer, and stops all processes gracefully.
 */
@CommandLine.Command(name = "quickstart", mixinStandardHelpOptions = true, version = "quickstart 0.1.0")
public final class QuickstartMain implements Callable<Integer> {
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int IO_THREADS = 1;

    @CommandLine.Option(names = "--home", required = true, description = "The folder of the project.")
    private Path home;

    @CommandLine.Option(names = "--workload", defaultValue = "heatwell", description = "heatwell or marrowgate.")
    private String workload;

    @CommandLine.Option(
            names = "--hold",
            defaultValue = "0",
            description = "Keep the fleet running for this many seconds after the load.")
    private int holdSeconds;

    @CommandLine.Option(
            names = "--preset",
            defaultValue = "standard",
            description = "The nodes' policy preset: standard or baseline.")
    private String preset;

    private QuickstartMain() {}

    /**
     * Runs the quickstart.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new QuickstartMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        Workload definition = Workload.read(home.resolve("workloads").resolve(workload + ".ini"));
        try (Fleet fleet = Fleet.start(definition, new FleetOptions(home, preset, IO_THREADS))) {
            System.out.println("started " + fleet.servers().size() + " servers of " + definition.name()
                    + ", each with a node; their logs are in " + fleet.folder());
            Server crashingServer = fleet.servers().getLast();
            List<Endpoint> entries = fleet.servers().stream()
                    .filter(s -> s != crashingServer)
                    .map(Server::entry)
                    .toList();
            QuickstartRun run;
            try (Caller caller = Caller.of(definition, entries)) {
                run = QuickstartRun.of(definition, fleet, caller);
                run.awaitReady();
                run.load(crashingServer);
            }
            hold(fleet);
            System.out.println(run.summary());
            return run.passed() ? 0 : 1;
        }
    }

    private void hold(Fleet fleet) throws InterruptedException {
        if (holdSeconds == 0) {
            return;
        }
        fleet.servers().forEach(s -> System.out.println("entry http://" + s.entry()));
        fleet.servers().forEach(s -> System.out.println("control " + s.control()));
        Thread.sleep((long) holdSeconds * MILLIS_PER_SECOND);
    }
}
