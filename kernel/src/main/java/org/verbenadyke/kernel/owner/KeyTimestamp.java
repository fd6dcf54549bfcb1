package org.verbenadyke.kernel.owner;

import java.util.Optional;
import java.util.UUID;

/**
 * Extracts the creation time of an idempotency key, if the key is a version 7 UUID.
 */
public final class KeyTimestamp {
    private static final int VERSION = 7;
    private static final int TIME_SHIFT = 16;

    private KeyTimestamp() {}

    /**
     * Extracts the creation time.
     *
     * @param key the key
     * @return milliseconds since the epoch by the caller's clock, empty if the key holds no time
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
