package org.verbenadyke.cli;

import picocli.AutoComplete;
import picocli.CommandLine;

/**
 * The command-line tool for operators.
 */
@CommandLine.Command(
        name = "verbenadyke",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Inspects and configures the nodes. Nothing changes until a plan is confirmed.",
        subcommands = {
            StatusCommand.class,
            PlanCommand.class,
            ConfirmCommand.class,
            UndoCommand.class,
            HistoryCommand.class,
            ShowCommand.class,
            DiffCommand.class,
            ExplainCommand.class,
            ReportCommand.class,
            AutoComplete.GenerateCompletion.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:failed; the message names the remedy",
            "2:the command line or a file can't be used",
            "3:another change was confirmed first; plan again",
            "4:the outcome isn't known yet; run the same command again",
            "5:the plan is risky and needs --allow-risk",
            "6:the configuration isn't in force everywhere yet"
        })
public final class Main {
    static final String VERSION = "verbenadyke 0.1.0";

    private Main() {}

    /**
     * Runs the tool.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, l, r) -> {
            l.getErr().println(e.getMessage());
            return ExitCodes.FAILED;
        });
        return line;
    }
}
