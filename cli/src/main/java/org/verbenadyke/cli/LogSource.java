package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import picocli.CommandLine;

/**
 * The option that selects where a command reads the nodes' logs from.
 */
final class LogSource {
    @CommandLine.Option(
            names = "--logs",
            paramLabel = "FILE",
            description = "The logs of all nodes in one file (default: standard input).")
    private Optional<Path> file = Optional.empty();

    BufferedReader open() throws IOException {
        return file.isPresent()
                ? Files.newBufferedReader(file.get())
                : new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
}
