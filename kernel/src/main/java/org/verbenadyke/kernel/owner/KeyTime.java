package org.verbenadyke.kernel.owner;

import java.util.Optional;
import java.util.UUID;

/**
 * Reads the time at which an idempotency key was made, when the key is a UUID of version 7.
 */
public final class KeyTime {
    private static final int VERSION = 7;
    private static final int TIME_SHIFT = 16;

    private KeyTime() {}

    /**
     * Reads the time.
     *
     * @param key the key
     * @return milliseconds since the epoch by the caller's clock, empty when the key doesn't tell
     */
    public static Optional<Long> of(String key) {
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == VERSION
                    ? Optional.of(uuid.getMostSignificantBits() >>> TIME_SHIFT)
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
