package org.verbenadyke.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * Shows the state of a node.
 */
@CommandLine.Command(
        name = "status",
        mixinStandardHelpOptions = true,
        version = "verbenadyke 0.1.0",
        description = "Shows the state and the counters of a node.")
final class StatusCommand implements Callable<Integer> {
    @CommandLine.Option(names = "--node", required = true, description = "The control address of a node, IP:PORT.")
    private String node;

    @CommandLine.Option(names = "--output", defaultValue = "text", description = "text or json.")
    private String output;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        JsonNode status = ControlClient.at(node).get("/status");
        if (output.equals("json")) {
            spec.commandLine().getOut().println(status.toPrettyString());
        } else {
            TextTable.print(spec.commandLine().getOut(), status);
        }
        return 0;
    }
}
