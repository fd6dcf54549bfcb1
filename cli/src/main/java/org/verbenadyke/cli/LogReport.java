package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Counts the refusals, failures, retries and reroutes in nodes' logs by reason, second and route. A line with a
 * {@code leftOut} count also counts for the lines that were left out before it.
 */
final class LogReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> EVENT_PREFIXES =
            List.of("refused", "rerouted", "retried", "retry", "answered-failed");

    /** The length of a timestamp cut to seconds, such as {@code 2030-01-01T00:00:00}. */
    private static final int SECOND_PRECISION_LENGTH = 19;

    private final Map<Cell, Long> bySecond = new TreeMap<>();
    private final Map<Cell, Long> byRoute = new TreeMap<>();

    private LogReport() {}

    /** Reads the logs of all nodes line by line, so that the logs may be larger than the memory. */
    static LogReport read(BufferedReader reader) throws IOException {
        LogReport report = new LogReport();
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int begin = text.indexOf('{');
            if (begin >= 0) {
                report.countLine(text.substring(begin));
            }
        }
        return report;
    }

    /** Returns whether there is nothing to show. */
    boolean isEmpty() {
        return bySecond.isEmpty();
    }

    /** Formats both tables, one line for each row. */
    List<String> lines() {
        List<String> lines = new ArrayList<>(formatTable("route or service", byRoute));
        lines.add("");
        lines.addAll(formatTable("second", bySecond));
        return lines;
    }

    private void countLine(String json) {
        JsonNode root;
        try {
            root = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            // Lines that aren't JSON don't come from a node but from its virtual machine, which uses the same stream.
            return;
        }
        JsonNode message = root.path("message");
        String event = message.path("event").asText("");
        if (EVENT_PREFIXES.stream().noneMatch(event::startsWith)) {
            return;
        }
        long count = 1 + message.path("leftOut").asLong(0);
        String time = root.path("time").asText("");
        String second = time.substring(0, Math.min(SECOND_PRECISION_LENGTH, time.length()));
        String route = message.path("route").asText(message.path("service").asText(""));
        bySecond.merge(new Cell(second, event), count, Long::sum);
        byRoute.merge(new Cell(route, event), count, Long::sum);
    }

    private static List<String> formatTable(String title, Map<Cell, Long> cells) {
        TreeSet<String> rows = new TreeSet<>();
        TreeSet<String> columns = new TreeSet<>();
        cells.keySet().forEach(c -> {
            rows.add(c.row());
            columns.add(c.column());
        });
        int width = Math.max(
                title.length(), rows.stream().mapToInt(String::length).max().orElse(0));
        List<String> lines = new ArrayList<>();
        StringBuilder head = new StringBuilder(String.format("%-" + width + "s", title));
        columns.forEach(c -> head.append("  ").append(c));
        lines.add(head.toString());
        for (String row : rows) {
            StringBuilder line = new StringBuilder(String.format("%-" + width + "s", row));
            for (String column : columns) {
                long count = cells.getOrDefault(new Cell(row, column), 0L);
                line.append(String.format("  %" + column.length() + "d", count));
            }
            lines.add(line.toString());
        }
        return lines;
    }

    /**
     * The position of a cell in a table.
     *
     * @param row the row's label
     * @param column the column's label
     */
    private record Cell(String row, String column) implements Comparable<Cell> {
        @Override
        public int compareTo(Cell other) {
            int byRow = row.compareTo(other.row);
            return byRow != 0 ? byRow : column.compareTo(other.column);
        }
    }
}
