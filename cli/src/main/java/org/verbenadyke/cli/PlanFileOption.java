package org.verbenadyke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * The option that selects the file that a plan is written to, for the {@code confirm} command.
 */
final class PlanFileOption {
    @CommandLine.Option(
            names = "--to",
            paramLabel = "PLAN",
            description = "Where to write the plan (default: plan-ID.json in this folder).")
    private Path to;

    int save(CommonOptions common, JsonNode plan) throws IOException {
        if (plan.has("problems")) {
            plan.path("problems").forEach(p -> common.warn(p.asText()));
            return ExitCodes.FAILED;
        }
        Path target = Optional.ofNullable(to)
                .orElseGet(() -> Path.of("plan-" + plan.path("id").asText() + ".json"));
        Files.writeString(target, plan.toPrettyString());
        common.print(plan);
        common.info("nothing changed yet; to confirm: verbenadyke confirm " + target);
        return ExitCodes.DONE;
    }
}
