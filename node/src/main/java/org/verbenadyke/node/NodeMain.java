package org.verbenadyke.node;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.apache.logging.log4j.LogManager;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.node.settings.InvalidSettingsException;
import org.verbenadyke.node.settings.NodeSettings;
import org.verbenadyke.node.settings.NodeSettingsReader;

import picocli.CommandLine;

/**
 * The daemon's command line.
 */
@CommandLine.Command(
        name = "verbenadyked",
        mixinStandardHelpOptions = true,
        version = "verbenadyked 0.1.0",
        description = "Runs one node beside an upstream.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:stopped as asked", "1:failed while running", "2:the settings can't be used"})
public final class NodeMain implements Callable<Integer> {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_SETTINGS = 2;
    private static final String LOG_SETTINGS = "log4j2.configurationFile";
    private static final String JSON_LOGS = "classpath:log4j2-json.xml";

    @CommandLine.Parameters(paramLabel = "FILE", description = "The settings file (INI).")
    private Path file;

    @CommandLine.Option(names = "--check", description = "Only check the settings and say what is wrong.")
    private boolean check;

    @CommandLine.Option(
            names = "--stop-seconds",
            description = "How long a graceful stop waits for work in flight (default: ${DEFAULT-VALUE}).",
            defaultValue = "30")
    private int stopSeconds;

    private NodeMain() {}

    /**
     * Runs the daemon.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new NodeMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        NodeSettings settings;
        try {
            settings = NodeSettingsReader.read(file);
        } catch (InvalidSettingsException e) {
            e.problems().forEach(System.err::println);
            return EXIT_SETTINGS;
        } catch (VerbenadykeException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        }
        if (check) {
            System.out.println(file + ": the settings are fine.");
            return 0;
        }
        return run(settings);
    }

    private int run(NodeSettings settings) throws InterruptedException {
        if (settings.jsonLogs()) {
            System.setProperty(LOG_SETTINGS, JSON_LOGS);
        }
        try {
            Node node = Node.start(settings);
            CountDownLatch stopped = new CountDownLatch(1);
            Thread stop = new Thread(() -> {
                node.stop(Duration.ofSeconds(stopSeconds));
                LogManager.shutdown();
                stopped.countDown();
            });
            Runtime.getRuntime().addShutdownHook(stop);
            stopped.await();
            return 0;
        } catch (VerbenadykeException e) {
            System.err.println(e.getMessage());
            return EXIT_FAILED;
        }
    }
}
