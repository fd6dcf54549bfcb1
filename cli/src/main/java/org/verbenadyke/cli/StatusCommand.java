package org.verbenadyke.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.verbenadyke.kernel.error.VerbenadykeException;

import com.fasterxml.jackson.databind.JsonNode;

import picocli.CommandLine;

/**
 * Shows the state of a node, or waits until a version is in force on all nodes.
 */
@CommandLine.Command(
        name = "status",
        mixinStandardHelpOptions = true,
        version = Main.VERSION,
        description = "Shows the state and the counters of a node; with --wait, whether all nodes run one version.")
final class StatusCommand implements Callable<Integer> {
    private static final long POLL_MILLIS = 200;
    private static final long MILLIS_PER_SECOND = 1_000;

    @CommandLine.Mixin
    private CommonOptions common;

    @CommandLine.Option(names = "--wait", description = "Wait until the configuration is in force on every node.")
    private boolean await;

    @CommandLine.Option(names = "--seconds", defaultValue = "10", description = "The maximum time to wait, in seconds.")
    private int seconds;

    @Override
    public Integer call() throws InterruptedException {
        JsonNode status = common.client().get("/status");
        if (!await) {
            common.print(status);
            return ExitCodes.DONE;
        }
        return awaitAll(status.path("configurationVersion").asLong());
    }

    private int awaitAll(long version) throws InterruptedException {
        long deadline = System.currentTimeMillis() + seconds * MILLIS_PER_SECOND;
        while (true) {
            List<String> controls = controlAddresses();
            long inForce = controls.stream().filter(c -> isInForce(c, version)).count();
            boolean all = inForce == controls.size();
            if (all || System.currentTimeMillis() > deadline) {
                common.info("version " + version + " in force on " + inForce + " of " + controls.size() + " nodes");
                return all ? ExitCodes.DONE : ExitCodes.NOT_IN_FORCE_YET;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private List<String> controlAddresses() {
        List<String> controls = new ArrayList<>();
        for (JsonNode m : common.client().get("/status").path("members")) {
            String state = m.path("state").asText();
            if (!state.equals("left") && !state.equals("dead")) {
                controls.add(m.path("control").asText());
            }
        }
        return controls;
    }

    private static boolean isInForce(String control, long version) {
        try {
            return ControlClient.at(control)
                            .get("/status")
                            .path("configurationVersion")
                            .asLong()
                    >= version;
        } catch (VerbenadykeException e) {
            return false;
        }
    }
}
