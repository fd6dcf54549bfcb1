package org.verbenadyke.standins.run;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * Makes UUIDs of version 7, which begin with the time they were made at.
 */
public final class UuidV7 {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000L;
    private static final long RANDOM_A = 0x0fffL;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long RANDOM_B = 0x3fffffffffffffffL;

    private UuidV7() {}

    /**
     * Makes one.
     *
     * @param millis the time, in milliseconds since the epoch
     * @param random where randomness comes from
     * @return the UUID
     */
    public static UUID at(long millis, RandomGenerator random) {
        long high = millis << TIME_SHIFT | VERSION | random.nextLong() & RANDOM_A;
        long low = VARIANT | random.nextLong() & RANDOM_B;
        return new UUID(high, low);
    }
}
