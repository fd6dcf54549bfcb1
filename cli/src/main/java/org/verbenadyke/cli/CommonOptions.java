package org.verbenadyke.cli;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * The options that every command has.
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

    void say(String text) {
        if (output == Output.text) {
            spec.commandLine().getOut().println(text);
            spec.commandLine().getOut().flush();
        }
    }

    void warn(String text) {
        spec.commandLine().getErr().println(text);
        spec.commandLine().getErr().flush();
    }

    /** How answers are printed; the names are those of the option. */
    enum Output {
        text,
        json
    }
}
