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
 * Finds the lines of nodes' logs that bear on one request: those that name it, those of the calls it led to and of
 * their attempts, and what nodes had learned last of each upstream that these name.
 */
final class LogLines {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> BELIEFS = List.of("plan", "upstream", "plan-feed", "member", "upstream-ejected");

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

    /** Returns the lines about a request, in the order of the log, with the beliefs before them. */
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
                upstreams.add(node(line.field("upstream")));
                attempts.add(line.field("attempt"));
            }
        }
        upstreams.remove("");
        attempts.remove("");
        return select(line -> line.names(request, chains, attempts), upstreams);
    }

    private List<String> select(Predicate<Line> about, Set<String> upstreams) {
        Map<String, String> beliefs = new LinkedHashMap<>();
        List<String> direct = new ArrayList<>();
        for (Line line : lines) {
            if (about.test(line)) {
                direct.add(line.text());
            } else if (direct.isEmpty() && line.belief(upstreams)) {
                beliefs.put(line.source() + line.part() + line.field("node"), line.text());
            }
        }
        List<String> all = new ArrayList<>(direct.isEmpty() ? List.of() : beliefs.values());
        all.addAll(direct);
        return all;
    }

    /** The name of the node beside an upstream: what stands before the at sign of its id. */
    private static String node(String upstream) {
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
            // A line that is no JSON is not one of a node's own lines; virtual machines write such to the same stream.
        }
    }

    /**
     * One line.
     *
     * @param text the line
     * @param source what stands before the JSON, such as a machine's name
     * @param json the JSON
     */
    private record Line(String text, String source, JsonNode json) {
        String field(String name) {
            return json.path("message").path(name).asText("");
        }

        boolean names(String request, Set<String> chains, Set<String> attempts) {
            return field("request").equals(request)
                    || chains.contains(field("chain"))
                    || attempts.contains(field("attempt"));
        }

        String part() {
            return json.path("part").asText("");
        }

        boolean belief(Set<String> nodes) {
            return BELIEFS.contains(part()) || BELIEFS.contains(field("event")) && nodes.contains(field("node"));
        }
    }
}
