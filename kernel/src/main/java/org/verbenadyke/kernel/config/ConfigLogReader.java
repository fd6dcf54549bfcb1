package org.verbenadyke.kernel.config;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Follows the configuration's stream and what other nodes tell of it. A reader that missed entries keeps its version in
 * force and the entries it reads, until a snapshot or another node tells it the state at a place it can go on from.
 * Used by one thread at a time.
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
     * Creates a reader that knows nothing.
     *
     * @return the reader
     */
    public static ConfigLogReader create() {
        return new ConfigLogReader();
    }

    /**
     * Returns the newest state that is known.
     *
     * @return the state, once there is one
     */
    public Optional<ConfigState> state() {
        return Optional.ofNullable(state);
    }

    /**
     * Tells whether every entry up to the last one read was taken into account.
     *
     * @return false while entries are missing
     */
    public boolean synced() {
        return synced;
    }

    /**
     * Finds a version seen lately.
     *
     * @param version the version
     * @return the configuration, if it was seen
     */
    public Optional<Configuration> version(long version) {
        return Optional.ofNullable(versions.get(version));
    }

    /**
     * Returns where to read on.
     *
     * @return the next offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Takes what was read from the log.
     *
     * @param firstOffset the oldest offset that the log still keeps
     * @param next where to read on
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
        new TreeMap<>(entries).forEach(this::take);
    }

    /**
     * Takes the state that another node or a snapshot tells.
     *
     * @param told the state
     */
    public void receive(ConfigState told) {
        boolean newer = state == null || told.version() > state.version();
        boolean mends = !synced && state != null && told.version() == state.version() && continuesFrom(told);
        if (!newer && !mends) {
            return;
        }
        adopt(told);
        if (nextOffset <= told.offset()) {
            nextOffset = told.offset() + 1;
            readFrom = nextOffset;
            pending.clear();
        }
        synced = continuesFrom(told);
        if (synced) {
            pending.tailMap(told.offset() + 1).forEach((offset, entry) -> adopt(state.after(offset, entry)));
            pending.clear();
        }
    }

    private boolean continuesFrom(ConfigState told) {
        return readFrom <= told.offset() + 1;
    }

    private void take(long offset, ConfigEntry entry) {
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
