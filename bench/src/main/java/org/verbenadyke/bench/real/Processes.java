package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the processor time and memory use of a process from the operating system, and sends signals to it.
 */
final class Processes {
    private static final int BYTES_PER_KB = 1024;

    private Processes() {}

    /** Sends a signal, such as {@code -STOP}, to a process. */
    static void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the processor time that a process has used so far. */
    static Duration cpuTime(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the resident memory in bytes, 0 if it can't be read. */
    static long residentBytes(Process process) {
        return status(process, "VmRSS:").orElse(0L);
    }

    /** Returns the peak resident memory in bytes, 0 if it can't be read. */
    static long peakBytes(Process process) {
        return status(process, "VmHWM:").orElse(0L);
    }

    private static Optional<Long> status(Process process, String name) {
        try {
            List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")));
            return lines.stream()
                    .filter(l -> l.startsWith(name))
                    .map(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) * BYTES_PER_KB)
                    .findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
