package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * What all processes of upstreams have stated about themselves in a run.
 */
final class Statements {
    private final Map<String, UpstreamStatement> byProcess = new LinkedHashMap<>();

    /** Opens the statement of a new process. */
    UpstreamStatement open(String server) {
        UpstreamStatement statement = new UpstreamStatement(server + "#" + (byProcess.size() + 1));
        byProcess.put(statement.process(), statement);
        return statement;
    }

    /** Records that a node passes on an answer. */
    void relayed(List<HeaderField> fields, String node, long nowNanos) {
        for (HeaderField field : fields) {
            if (field.name().equals(UpstreamStatement.PROCESS)) {
                Optional.ofNullable(byProcess.get(field.value())).ifPresent(s -> s.relayed(node, nowNanos));
            }
        }
    }

    /** Returns the statements of all processes. */
    List<UpstreamStatement> all() {
        return List.copyOf(byProcess.values());
    }

    /** Returns a description of each call that a statement forbids. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        byProcess.values().forEach(s -> violations.addAll(s.violations()));
        return violations;
    }
}
