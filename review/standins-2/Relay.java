package review;

import java.io.IOException;

/** A process of relay.py before a port. */
final class Relay implements AutoCloseable {
    final int port;
    private final Process process;

    Relay(int target) throws IOException {
        process = new ProcessBuilder("python3", "review/standins-2/relay.py", Integer.toString(target))
                .directory(Deployment.ROOT.toFile())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        String line = process.inputReader().readLine();
        Case.require(line != null, "the relay did not start");
        port = Integer.parseInt(line);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
