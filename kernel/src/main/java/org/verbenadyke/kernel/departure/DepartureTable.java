package org.verbenadyke.kernel.departure;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.time.TimerService;

/**
 * The departed starts that a node knows, its own and those of other nodes, which it keeps on their behalf: the process
 * beside a departed upstream may be killed and must then learn from others that the upstream has left. Thread-safe.
 */
public final class DepartureTable {
    /** How long departures are exchanged between nodes: longer than any heartbeat is delayed, in milliseconds. */
    static final long EXCHANGED_MILLIS = 600_000;

    /**
     * How long departures are kept. Longer than they are exchanged, so that no node learns one again from a node that
     * drops it a little later, in milliseconds.
     */
    static final long KEPT_MILLIS = 2 * EXCHANGED_MILLIS;

    /** The number of nodes whose departures are kept; far more than upstreams leave within the retention time. */
    private static final int MAX_NODES = 10_000;

    private final TimerService timers;
    private final Map<String, NodeDepartures> byNode = new ConcurrentHashMap<>();

    private DepartureTable(TimerService timers) {
        this.timers = timers;
    }

    /**
     * Creates a table.
     *
     * @param timers the clock
     * @return an empty table
     */
    public static DepartureTable create(TimerService timers) {
        return new DepartureTable(timers);
    }

    /**
     * Merges the departures that another node or the log knows. Those that are too old to matter are left out, and
     * those whose time lies so far ahead that they would never expire.
     *
     * @param learned the departures of one node
     * @return whether any was new
     */
    public boolean merge(NodeDepartures learned) {
        long now = timers.wallMillis();
        NodeDepartures fresh = learned.between(now - EXCHANGED_MILLIS, now + EXCHANGED_MILLIS);
        boolean full = byNode.size() >= MAX_NODES && !byNode.containsKey(learned.nodeId());
        if (fresh.starts().isEmpty() || full) {
            return false;
        }
        boolean[] added = {false};
        byNode.compute(learned.nodeId(), (id, known) -> {
            NodeDepartures before = known == null ? NodeDepartures.none(id) : known;
            NodeDepartures after = before.merge(fresh.starts());
            added[0] = after != before;
            return after;
        });
        return added[0];
    }

    /**
     * Finds the departed starts beside a node.
     *
     * @param nodeId the node's name
     * @return its departures
     */
    public NodeDepartures of(String nodeId) {
        return byNode.getOrDefault(nodeId, NodeDepartures.none(nodeId));
    }

    /**
     * Lists the departures that are exchanged, those of nodes with the newest departure first.
     *
     * @param maxNodes the maximum number of nodes
     * @return the departures of each node
     */
    public List<NodeDepartures> exchanged(int maxNodes) {
        long since = timers.wallMillis() - EXCHANGED_MILLIS;
        return byNode.values().stream()
                .map(d -> d.since(since))
                .filter(d -> !d.starts().isEmpty())
                .sorted(Comparator.comparingLong(
                                (NodeDepartures d) -> d.starts().get(0).announcedMillis())
                        .reversed())
                .limit(maxNodes)
                .toList();
    }

    /**
     * Returns a hash of the departures that are exchanged.
     *
     * @return the same for equal tables, 0 for an empty one
     */
    public long fingerprint() {
        if (byNode.isEmpty()) {
            return 0;
        }
        long since = timers.wallMillis() - EXCHANGED_MILLIS;
        long hash = 0;
        for (NodeDepartures node : byNode.values()) {
            for (DepartedStart d : node.starts()) {
                hash += d.announcedMillis() >= since ? d.fingerprint(node.nodeId()) : 0;
            }
        }
        return hash;
    }

    /** Drops what is too old to matter; called every few hundred milliseconds. */
    public void expire() {
        long since = timers.wallMillis() - KEPT_MILLIS;
        for (NodeDepartures node : byNode.values()) {
            NodeDepartures kept = node.since(since);
            if (kept.starts().isEmpty()) {
                byNode.remove(node.nodeId(), node);
            } else if (kept != node) {
                byNode.replace(node.nodeId(), node, kept);
            }
        }
    }
}
