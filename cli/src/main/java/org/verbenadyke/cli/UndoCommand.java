package org.verbenadyke.cli;

import java.io.IOException;
import java.util.concurrent.Callable;

import picocli.CommandLine;

/**
 * Plans to go forward to what was in force before a version.
 */
@CommandLine.Command(
        name = "undo",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Plans a new version that says what was in force before VERSION; nothing changes yet.")
final class UndoCommand implements Callable<Integer> {
    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Mixin
    private PlanFileOption file;

    @CommandLine.Parameters(paramLabel = "VERSION", description = "The version to undo.")
    private long version;

    @Override
    public Integer call() throws IOException {
        return file.save(common, common.client().get("/undo?version=" + version));
    }
}
