package org.verbenadyke.standins.run;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * Generates UUIDs of version 7, which begin with the creation time.
 */
public final class UuidV7 {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION_BITS = 0x7000L;
    private static final long RANDOM_A_MASK = 0x0fffL;
    private static final long VARIANT_BITS = 0x8000000000000000L;
    private static final long RANDOM_B_MASK = 0x3fffffffffffffffL;

    private UuidV7() {}

    /**
     * Generates a UUID.
     *
     * @param millis the creation time, in milliseconds since the epoch
     * @param random the source of the random bits
     * @return the UUID
     */
    public static UUID at(long millis, RandomGenerator random) {
        long high = millis << TIME_SHIFT | VERSION_BITS | random.nextLong() & RANDOM_A_MASK;
        long low = VARIANT_BITS | random.nextLong() & RANDOM_B_MASK;
        return new UUID(high, low);
    }
}
