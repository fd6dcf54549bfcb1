package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Finds the lines of nodes' logs that concern one request: the lines with its id, the lines of its calls and of their
 * attempts, and the latest state that nodes reported of each upstream in these lines.
 */
final class LogLines {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The logger names and the events of lines that report the state of nodes and plans. */
    private static final List<String> STATE_PARTS_AND_EVENTS =
            List.of("plan", "upstream", "plan-feed", "member", "upstream-ejected");

    private final List<Line> lines;

    private LogLines(List<Line> lines) {
        this.lines = lines;
    }

    static LogLines read(BufferedReader reader) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int begin = text.indexOf('{');
            if (begin >= 0) {
                parse(text, begin, lines);
            }
        }
        return new LogLines(lines);
    }

    /** Returns the lines about a request in the order of the log, preceded by the latest reported states of nodes. */
    List<String> about(String request) {
        Set<String> chains = new HashSet<>();
        Set<String> upstreams = new HashSet<>();
        Set<String> attempts = new HashSet<>();
        for (Line line : lines) {
            if (line.field("request").equals(request)) {
                chains.add(line.field("chain"));
            }
        }
        chains.remove("");
        for (Line line : lines) {
            if (chains.contains(line.field("chain"))) {
                upstreams.add(nodeOf(line.field("upstream")));
                attempts.add(line.field("attempt"));
            }
        }
        upstreams.remove("");
        attempts.remove("");
        return selectLines(line -> line.concerns(request, chains, attempts), upstreams);
    }

    private List<String> selectLines(Predicate<Line> about, Set<String> upstreams) {
        Map<String, String> latestStates = new LinkedHashMap<>();
        List<String> direct = new ArrayList<>();
        for (Line line : lines) {
            if (about.test(line)) {
                direct.add(line.text());
            } else if (direct.isEmpty() && line.reportsStateOf(upstreams)) {
                latestStates.put(line.source() + line.part() + line.field("node"), line.text());
            }
        }
        List<String> all = new ArrayList<>(direct.isEmpty() ? List.of() : latestStates.values());
        all.addAll(direct);
        return all;
    }

    /** Returns the name of the node that an upstream is colocated with: the part of the upstream's id before the @. */
    private static String nodeOf(String upstream) {
        int at = upstream.indexOf('@');
        return at < 0 ? upstream : upstream.substring(0, at);
    }

    private static void parse(String text, int begin, List<Line> lines) {
        try {
            JsonNode root = JSON.readTree(text.substring(begin));
            if (root != null && root.isObject()) {
                lines.add(new Line(text, text.substring(0, begin).strip(), root));
            }
        } catch (JsonProcessingException e) {
            // Lines that aren't JSON don't come from a node but from its virtual machine, which uses the same stream.
        }
    }

    /**
     * One line of a log.
     *
     * @param text the whole line
     * @param source the text before the JSON, such as a machine's name
     * @param json the JSON
     */
    private record Line(String text, String source, JsonNode json) {
        String field(String name) {
            return json.path("message").path(name).asText("");
        }

        boolean concerns(String request, Set<String> chains, Set<String> attempts) {
            return field("request").equals(request)
                    || chains.contains(field("chain"))
                    || attempts.contains(field("attempt"));
        }

        String part() {
            return json.path("part").asText("");
        }

        boolean reportsStateOf(Set<String> nodes) {
            return STATE_PARTS_AND_EVENTS.contains(part())
                    || STATE_PARTS_AND_EVENTS.contains(field("event")) && nodes.contains(field("node"));
        }
    }
}
