package org.verbenadyke.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.verbenadyke.kernel.plan.Differences;
import org.verbenadyke.node.control.PlanJson;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * Compares two versions of the configuration.
 */
@CommandLine.Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Shows the differences between two versions.")
final class DiffCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Parameters(paramLabel = "FROM", description = "The first version.")
    private long from;

    @CommandLine.Parameters(paramLabel = "TO", description = "The second version.")
    private long to;

    @Override
    public Integer call() {
        JsonNode a = common.client().get("/show?version=" + from);
        JsonNode b = common.client().get("/show?version=" + to);
        if (a.isEmpty() || b.isEmpty()) {
            common.warn("One of the versions is not known to this node any more.");
            return ExitCodes.FAILED;
        }
        List<String> lines = Differences.between(PlanJson.configuration(a), PlanJson.configuration(b));
        lines.forEach(common::info);
        return ExitCodes.DONE;
    }
}
