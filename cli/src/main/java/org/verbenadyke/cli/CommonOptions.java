package org.verbenadyke.cli;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * The options of all commands that talk to a node, and the output in the chosen format.
 */
final class CommonOptions {
    @CommandLine.Option(names = "--node", required = true, description = "The control address of any node, IP:PORT.")
    private String node;

    @CommandLine.Option(names = "--output", defaultValue = "text", description = "text or json.")
    private Output output;

    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec spec;

    ControlClient client() {
        return ControlClient.at(node);
    }

    void print(JsonNode answer) {
        if (output == Output.json) {
            spec.commandLine().getOut().println(answer.toPrettyString());
            spec.commandLine().getOut().flush();
        } else {
            TextTable.print(spec.commandLine().getOut(), answer);
        }
    }

    void info(String text) {
        if (output == Output.text) {
            spec.commandLine().getOut().println(text);
            spec.commandLine().getOut().flush();
        }
    }

    void warn(String text) {
        spec.commandLine().getErr().println(text);
        spec.commandLine().getErr().flush();
    }

    /** The output formats; the names are the values of the option. */
    enum Output {
        text,
        json
    }
}
