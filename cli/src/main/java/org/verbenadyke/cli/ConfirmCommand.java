package org.verbenadyke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.node.control.PlanJson;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import picocli.CommandLine;

/**
 * Confirms a plan.
 */
@CommandLine.Command(
        name = "confirm",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Puts a plan in force. Running it again has no further effect.")
final class ConfirmCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Option(names = "--allow-risk", description = "Confirm in spite of the risks that the plan lists.")
    private boolean allowRisk;

    @CommandLine.Option(names = "--author", description = "Who confirms (default: the user's name).")
    private String author = System.getProperty("user.name", "");

    @CommandLine.Parameters(paramLabel = "PLAN", description = "The plan's file.")
    private Path file;

    @Override
    public Integer call() {
        JsonNode plan = readPlan();
        if (!plan.path("risks").isEmpty() && !allowRisk) {
            plan.path("risks").forEach(r -> common.warn(r.asText()));
            return ExitCodes.RISKY;
        }
        ((ObjectNode) plan).put("author", author);
        JsonNode outcome = common.client().post("/confirm", plan.toString());
        common.print(outcome);
        return switch (outcome.path("outcome").asText()) {
            case "in-force" -> ExitCodes.DONE;
            case "lost" -> ExitCodes.SUPERSEDED;
            case "unknown" -> ExitCodes.UNKNOWN;
            default -> ExitCodes.FAILED;
        };
    }

    private JsonNode readPlan() {
        try {
            JsonNode plan = PlanJson.parse(Files.readString(file));
            if (!plan.isObject() || !plan.has("id") || !plan.has("next")) {
                throw VerbenadykeException.of(ErrorCode.PLAN_UNKNOWN, file, "not a plan");
            }
            return plan;
        } catch (IOException e) {
            throw VerbenadykeException.of(ErrorCode.PLAN_UNKNOWN, file, e.getMessage());
        }
    }
}
