package org.verbenadyke.cli;

import java.io.PrintWriter;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints JSON as indented lines; nested numbers that are zero are omitted.
 */
final class TextTable {
    private static final int INDENT = 2;

    private TextTable() {}

    static void print(PrintWriter out, JsonNode node) {
        print(out, node, 0);
        out.flush();
    }

    private static void print(PrintWriter out, JsonNode node, int depth) {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            JsonNode value = field.getValue();
            String label = " ".repeat(depth * INDENT) + field.getKey() + ":";
            if (value.isObject()) {
                out.println(label);
                print(out, value, depth + 1);
            } else if (value.isArray()) {
                out.println(label);
                value.forEach(v -> out.println(" ".repeat((depth + 1) * INDENT) + formatLine(v)));
            } else if (depth == 0 || !value.isNumber() || value.asLong() != 0) {
                out.println(label + " " + value.asText());
            }
        }
    }

    private static String formatLine(JsonNode value) {
        if (!value.isObject()) {
            return value.asText();
        }
        StringBuilder line = new StringBuilder();
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            line.append(field.getValue().asText()).append("  ");
        }
        return line.toString().stripTrailing();
    }
}
