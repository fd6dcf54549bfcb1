package org.verbenadyke.cli;

import picocli.CommandLine;

/**
 * The command-line tool of the operators.
 */
@CommandLine.Command(
        name = "verbenadyke",
        mixinStandardHelpOptions = true,
        version = "verbenadyke 0.1.0",
        description = "Looks at the nodes and steers them.",
        subcommands = {StatusCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:failed", "2:the command line can't be used"})
public final class Main {
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
            return 1;
        });
        return line;
    }
}
