package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads what the operating system accounts to a process.
 */
final class Processes {
    private static final int KB = 1024;

    private Processes() {}

    /** Returns the processor time used so far. */
    static Duration cpu(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the resident memory in bytes, 0 where it can't be read. */
    static long resident(Process process) {
        return status(process, "VmRSS:").orElse(0L);
    }

    /** Returns the most resident memory so far in bytes, 0 where it can't be read. */
    static long peak(Process process) {
        return status(process, "VmHWM:").orElse(0L);
    }

    private static Optional<Long> status(Process process, String name) {
        try {
            List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")));
            return lines.stream()
                    .filter(l -> l.startsWith(name))
                    .map(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) * KB)
                    .findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
