package org.verbenadyke.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine;

/**
 * Shows the latest confirmed changes.
 */
@CommandLine.Command(
        name = "history",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Shows the latest changes and their outcomes, oldest first.")
final class HistoryCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @Override
    public Integer call() {
        common.print(common.client().get("/history"));
        return ExitCodes.DONE;
    }
}
