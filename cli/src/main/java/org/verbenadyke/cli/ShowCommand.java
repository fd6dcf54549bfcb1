package org.verbenadyke.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * Shows a configuration.
 */
@CommandLine.Command(
        name = "show",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Shows the configuration in force, or an earlier version.")
final class ShowCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Parameters(paramLabel = "VERSION", arity = "0..1", description = "The version.")
    private Long version;

    @Override
    public Integer call() {
        JsonNode found = common.client().get(version == null ? "/show" : "/show?version=" + version);
        if (found.isEmpty()) {
            common.warn("Version " + version + " is not known to this node any more.");
            return ExitCodes.FAILED;
        }
        common.print(found);
        return ExitCodes.DONE;
    }
}
