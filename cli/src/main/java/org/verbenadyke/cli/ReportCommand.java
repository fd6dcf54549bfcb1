package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;

import picocli.CommandLine;

/**
 * Shows where and why requests were refused, failed, retried or rerouted.
 */
@CommandLine.Command(
        name = "report",
        description =
                "Counts refusals, failures, retries and reroutes by reason, route and second. Reads the nodes' logs.")
final class ReportCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private LogSource source;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        LogReport report;
        try (BufferedReader reader = source.open()) {
            report = LogReport.read(reader);
        }
        if (report.isEmpty()) {
            out.println(
                    "No line reports a refusal, failure, retry or reroute. Check that the input is the logs of nodes.");
            return ExitCodes.FAILED;
        }
        report.lines().forEach(out::println);
        return ExitCodes.DONE;
    }
}
