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
 * Counts what nodes' logs say of requests that were not simply served: refusals, failures, retries and reroutes, by
 * reason, second and route. A line that stands for others which were left out counts for them, too.
 */
final class LogReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> KINDS = List.of("refused", "rerouted", "retried", "retry", "answered-failed");

    /** The length of a time to the second, such as {@code 2030-01-01T00:00:00}. */
    private static final int TO_THE_SECOND = 19;

    private final Map<Cell, Long> bySecond = new TreeMap<>();
    private final Map<Cell, Long> byRoute = new TreeMap<>();

    private LogReport() {}

    /** Reads the logs of all nodes, line by line, so that they may be larger than the memory. */
    static LogReport read(BufferedReader reader) throws IOException {
        LogReport report = new LogReport();
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int begin = text.indexOf('{');
            if (begin >= 0) {
                report.take(text.substring(begin));
            }
        }
        return report;
    }

    /** Tells whether there is nothing to show. */
    boolean empty() {
        return bySecond.isEmpty();
    }

    /** Words both tables, a line each row. */
    List<String> lines() {
        List<String> lines = new ArrayList<>(table("route or service", byRoute));
        lines.add("");
        lines.addAll(table("second", bySecond));
        return lines;
    }

    private void take(String json) {
        JsonNode root;
        try {
            root = JSON.readTree(json);
        } catch (JsonProcessingException e) {
            // A line that is no JSON is not one of a node's own lines; virtual machines write such to the same stream.
            return;
        }
        JsonNode message = root.path("message");
        String event = message.path("event").asText("");
        if (KINDS.stream().noneMatch(event::startsWith)) {
            return;
        }
        long count = 1 + message.path("leftOut").asLong(0);
        String time = root.path("time").asText("");
        String second = time.substring(0, Math.min(TO_THE_SECOND, time.length()));
        String route = message.path("route").asText(message.path("service").asText(""));
        bySecond.merge(new Cell(second, event), count, Long::sum);
        byRoute.merge(new Cell(route, event), count, Long::sum);
    }

    private static List<String> table(String title, Map<Cell, Long> cells) {
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
     * A cell of a table.
     *
     * @param row what its row stands for
     * @param column what its column stands for
     */
    private record Cell(String row, String column) implements Comparable<Cell> {
        @Override
        public int compareTo(Cell other) {
            int byRow = row.compareTo(other.row);
            return byRow != 0 ? byRow : column.compareTo(other.column);
        }
    }
}
