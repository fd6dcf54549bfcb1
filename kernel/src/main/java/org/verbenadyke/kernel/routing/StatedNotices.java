package org.verbenadyke.kernel.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.message.Message;

/**
 * What this node knows upstreams to have stated about themselves, by the address of their nodes. Calls carry it back,
 * so that a node that has restarted learns it again. Thread-safe.
 */
final class StatedNotices {
    /** The number of upstreams; few state anything at the same time. */
    private static final int MAX_UPSTREAMS = 1_024;

    private final Map<Endpoint, Message.Stated> byNode = new ConcurrentHashMap<>();

    private StatedNotices() {}

    static StatedNotices empty() {
        return new StatedNotices();
    }

    /** Handles what the node of an upstream reported last. That a start is leaving stays true. */
    void reported(Endpoint node, Message.Stated stated) {
        if (stated.isEmpty()) {
            byNode.computeIfPresent(node, (n, known) -> known.leaving() ? known : null);
        } else if (byNode.size() < MAX_UPSTREAMS || byNode.containsKey(node)) {
            byNode.put(node, stated);
        }
    }

    /** Returns what an upstream was last known to state. */
    Message.Stated of(Endpoint node) {
        return byNode.isEmpty() ? Message.Stated.NOTHING : byNode.getOrDefault(node, Message.Stated.NOTHING);
    }
}
