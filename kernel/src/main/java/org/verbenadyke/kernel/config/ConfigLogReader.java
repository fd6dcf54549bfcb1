package org.verbenadyke.kernel.config;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Derives the configuration from the entries of its stream and from the state received from other nodes. A reader that
 * missed entries keeps its version in force and collects the entries it reads, until a snapshot or another node
 * provides a state from which it can continue. Not thread-safe.
 */
public final class ConfigLogReader {
    private static final int MAX_PENDING = 10_000;
    private static final int MAX_VERSIONS = 64;

    private final TreeMap<Long, ConfigEntry> pending = new TreeMap<>();
    private final TreeMap<Long, Configuration> versions = new TreeMap<>();
    private ConfigState state;
    private boolean synced;
    private long nextOffset;
    private long readFrom = -1;

    private ConfigLogReader() {}

    /**
     * Creates a reader without a state.
     *
     * @return the reader
     */
    public static ConfigLogReader create() {
        return new ConfigLogReader();
    }

    /**
     * Returns the newest known state.
     *
     * @return the state, once there is one
     */
    public Optional<ConfigState> state() {
        return Optional.ofNullable(state);
    }

    /**
     * Returns whether every entry up to the last one read has been applied.
     *
     * @return false while entries are missing
     */
    public boolean synced() {
        return synced;
    }

    /**
     * Looks up a recent version.
     *
     * @param version the version
     * @return the configuration, empty if it is unknown
     */
    public Optional<Configuration> version(long version) {
        return Optional.ofNullable(versions.get(version));
    }

    /**
     * Returns the offset to read from next.
     *
     * @return the next offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Handles entries read from the log.
     *
     * @param firstOffset the oldest offset that the log still holds
     * @param next the offset to read from next
     * @param entries the entries by offset
     */
    public void read(long firstOffset, long next, Map<Long, ConfigEntry> entries) {
        boolean gap = firstOffset > nextOffset;
        if (gap) {
            synced = false;
            pending.clear();
            readFrom = firstOffset;
        } else if (readFrom < 0) {
            readFrom = nextOffset;
        }
        if (state == null && readFrom == 0) {
            state = ConfigState.initial();
            synced = true;
        }
        nextOffset = Math.max(nextOffset, next);
        new TreeMap<>(entries).forEach(this::handleEntry);
    }

    /**
     * Handles a state received from another node or from a snapshot.
     *
     * @param received the state
     */
    public void receive(ConfigState received) {
        boolean newer = state == null || received.version() > state.version();
        boolean closesGap =
                !synced && state != null && received.version() == state.version() && continuesFrom(received);
        if (!newer && !closesGap) {
            return;
        }
        adopt(received);
        if (nextOffset <= received.offset()) {
            nextOffset = received.offset() + 1;
            readFrom = nextOffset;
            pending.clear();
        }
        synced = continuesFrom(received);
        if (synced) {
            pending.tailMap(received.offset() + 1).forEach((offset, entry) -> adopt(state.after(offset, entry)));
            pending.clear();
        }
    }

    private boolean continuesFrom(ConfigState received) {
        return readFrom <= received.offset() + 1;
    }

    private void handleEntry(long offset, ConfigEntry entry) {
        if (synced) {
            adopt(state.after(offset, entry));
            return;
        }
        pending.put(offset, entry);
        if (pending.size() > MAX_PENDING) {
            pending.pollFirstEntry();
            readFrom = pending.firstKey();
        }
        if (entry instanceof ConfigEntry.Snapshot s) {
            receive(s.state());
        }
    }

    private void adopt(ConfigState next) {
        state = next;
        versions.put(next.version(), next.configuration());
        if (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
    }
}
