package org.verbenadyke.kernel.config;

import java.util.List;
import java.util.Set;

/**
 * An entry of the configuration stream.
 */
public sealed interface ConfigEntry {
    /**
     * A confirmed change. It takes effect only if its base version is in force at its offset in the log.
     *
     * @param id identifies the change; the same on every attempt to append it
     * @param base the version it is based on
     * @param retries the number of retries that the whole call chain of a request may make
     * @param rules the rules that determine the importance of requests
     * @param leaving upstreams that must not get new work
     * @param author who confirmed it
     * @param atMillis when it was confirmed, in milliseconds since the epoch
     */
    record Change(
            String id,
            long base,
            int retries,
            List<ImportanceRule> rules,
            Set<String> leaving,
            String author,
            long atMillis)
            implements ConfigEntry {
        /**
         * Returns the configuration that results from the change.
         *
         * @return the next version
         */
        public Configuration result() {
            return new Configuration(base + 1, retries, rules, leaving);
        }
    }

    /**
     * The state at an offset of the log, appended before the log drops the changes that led to it.
     *
     * @param state the state
     */
    record Snapshot(ConfigState state) implements ConfigEntry {}
}
