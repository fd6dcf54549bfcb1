package org.verbenadyke.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.verbenadyke.bench.lab.ConfigurationSoak;
import org.verbenadyke.bench.lab.Soak;
import org.verbenadyke.bench.lab.SoakReport;
import org.verbenadyke.bench.lab.SoakSettings;
import org.verbenadyke.bench.real.ConfigurationProcessSoak;
import org.verbenadyke.bench.real.CrashProcessSoak;
import org.verbenadyke.bench.real.DepartureProcessSoak;
import org.verbenadyke.bench.real.ProcessSoak;
import org.verbenadyke.bench.real.RetryProcessSoak;

import picocli.CommandLine;

/**
 * Starts randomised runs from the command line.
 */
@CommandLine.Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        version = "soak 0.1.0",
        description = "Applies random load and random faults and checks every invariant.")
public final class SoakMain implements Callable<Integer> {
    private static final int MAX_SHOWN_VIOLATIONS = 20;

    @CommandLine.Option(names = "--seed", defaultValue = "1", description = "The first seed.")
    private long seed;

    @CommandLine.Option(names = "--runs", defaultValue = "1", description = "How many seeds to run, counting up.")
    private int runs;

    @CommandLine.Option(names = "--seconds", defaultValue = "120", description = "The length in virtual seconds.")
    private int seconds;

    @CommandLine.Option(names = "--rate", defaultValue = "120", description = "Requests per second.")
    private int rate;

    @CommandLine.Option(names = "--processes", description = "Use real processes and signals instead of the emulator.")
    private boolean processes;

    @CommandLine.Option(
            names = "--faults",
            defaultValue = "all",
            description =
                    "all, mixed, keyed, crashes, notices, configuration, crashing-requests, departures or retries.")
    private String faults;

    @CommandLine.Option(names = "--trace", description = "Print each fault.")
    private boolean trace;

    private SoakMain() {}

    /**
     * Runs the tool.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new SoakMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (processes) {
            Path home = Path.of(System.getenv("VERBENADYKE_HOME"));
            int failed = 0;
            for (int i = 0; i < runs; i++) {
                List<String> violations = runProcesses(home, seed + i);
                violations.stream().limit(MAX_SHOWN_VIOLATIONS).forEach(v -> System.out.println("violation: " + v));
                failed += violations.isEmpty() ? 0 : 1;
            }
            return failed == 0 ? 0 : 1;
        }
        if (faults.equals("configuration")) {
            return runConfiguration();
        }
        int failed = 0;
        for (int i = 0; i < runs; i++) {
            SoakReport report = Soak.run(settings(seed + i));
            System.out.println("answers " + report.answers());
            System.out.println("faults " + report.faultKinds());
            if (trace) {
                report.trace().forEach(System.out::println);
            }
            report.violations().stream()
                    .limit(MAX_SHOWN_VIOLATIONS)
                    .forEach(v -> System.out.println("violation: " + v));
            System.out.println("digest " + Long.toHexString(report.digest()));
            System.out.println(report.summary());
            failed += report.violations().isEmpty() ? 0 : 1;
        }
        return failed == 0 ? 0 : 1;
    }

    private List<String> runProcesses(Path home, long oneSeed) throws Exception {
        return switch (faults) {
            case "configuration" -> ConfigurationProcessSoak.run(home, oneSeed, seconds);
            case "crashing-requests" -> CrashProcessSoak.run(home, oneSeed, seconds);
            case "departures" -> DepartureProcessSoak.run(home, oneSeed, seconds);
            case "retries" -> RetryProcessSoak.run(home, oneSeed, seconds);
            default -> ProcessSoak.run(home, oneSeed, seconds);
        };
    }

    private int runConfiguration() {
        int failed = 0;
        for (int i = 0; i < runs; i++) {
            ConfigurationSoak.Report report = ConfigurationSoak.run(seed + i, seconds);
            System.out.println(report.summary());
            failed += report.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(failed + " of " + runs + " runs with violations");
        return failed == 0 ? 0 : 1;
    }

    private SoakSettings settings(long oneSeed) {
        return switch (faults) {
            case "keyed" -> SoakSettings.keyed(oneSeed, seconds, rate);
            case "notices" -> SoakSettings.notices(oneSeed, seconds, rate);
            case "mixed" -> SoakSettings.mixed(oneSeed, seconds, rate);
            case "crashes" -> SoakSettings.crashes(oneSeed, seconds, rate);
            default -> SoakSettings.all(oneSeed, seconds, rate);
        };
    }
}
