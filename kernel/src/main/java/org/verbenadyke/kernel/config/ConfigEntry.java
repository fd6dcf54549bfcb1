package org.verbenadyke.kernel.config;

import java.util.List;
import java.util.Set;

/**
 * What stands on the configuration's stream.
 */
public sealed interface ConfigEntry {
    /**
     * A confirmed change. It takes effect only when the version it was made for is in force at its place on the log.
     *
     * @param id names the change; the same on every try to append it
     * @param base the version it was made for
     * @param retries how many retries the whole chain of a request may make
     * @param rules how much requests matter
     * @param leaving upstreams that are to get no new work
     * @param author who confirmed it
     * @param atMillis when, in milliseconds since the epoch
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
         * Returns the configuration that the change makes.
         *
         * @return the next version
         */
        public Configuration result() {
            return new Configuration(base + 1, retries, rules, leaving);
        }
    }

    /**
     * The state at a place on the log, written again before the log drops the changes that led to it.
     *
     * @param state the state
     */
    record Snapshot(ConfigState state) implements ConfigEntry {}
}
