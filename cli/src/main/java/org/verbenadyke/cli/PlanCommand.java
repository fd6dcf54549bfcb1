package org.verbenadyke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.verbenadyke.node.control.PlanJson;
import org.verbenadyke.node.settings.InvalidSettingsException;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * Turns intents into a plan.
 */
@CommandLine.Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Shows what some intents would change and what follows; nothing changes yet.")
final class PlanCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Mixin
    private PlanFileOption file;

    @CommandLine.Parameters(paramLabel = "FILE", description = "The intents (INI).")
    private Path intents;

    @Override
    public Integer call() throws IOException {
        String body;
        try {
            body = PlanJson.of(IntentsReader.read(intents)).toString();
        } catch (InvalidSettingsException e) {
            e.problems().forEach(common::warn);
            return ExitCodes.USAGE;
        }
        JsonNode plan = common.client().post("/plan", body);
        return file.save(common, plan);
    }
}
