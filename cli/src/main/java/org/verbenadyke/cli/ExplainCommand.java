package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine;

/**
 * Shows the lines of the nodes' logs that concern one request.
 */
@CommandLine.Command(
        name = "explain",
        description = "Shows the log lines that explain the outcome of a request. Reads the nodes' logs.")
final class ExplainCommand implements Callable<Integer> {
    @CommandLine.Parameters(paramLabel = "ID", description = "The request's id, as its caller knows it.")
    private String request;

    @CommandLine.Mixin
    private LogSource source;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        List<String> lines;
        try (BufferedReader reader = source.open()) {
            lines = LogLines.read(reader).about(request);
        }
        if (lines.isEmpty()) {
            out.println("No line names request " + request
                    + ". It was served, or its line was left out in a busy second: look at the leftOut counts near its"
                    + " time and at the counters.");
            return ExitCodes.FAILED;
        }
        lines.forEach(out::println);
        return ExitCodes.DONE;
    }
}
