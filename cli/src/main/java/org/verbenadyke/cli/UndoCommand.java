package org.verbenadyke.cli;

import java.io.IOException;
import java.util.concurrent.Callable;

import picocli.CommandLine;

/**
 * Plans a new version that restores the configuration in force before a given version.
 */
@CommandLine.Command(
        name = "undo",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Plans a new version that restores what was in force before VERSION; nothing changes yet.")
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
