package org.verbenadyke.bench.lab;

import java.util.UUID;

/**
 * Generates idempotency keys: version 7 UUIDs with the time of the virtual clock.
 */
final class Keys {
    private static final int TIME_SHIFT = 16;
    private static final long VERSION = 0x7000L;
    private static final long RANDOM_A = 0xfffL;

    private Keys() {}

    static String at(Lab lab) {
        long high =
                lab.clock().wallMillis() << TIME_SHIFT | VERSION | lab.random().nextLong() & RANDOM_A;
        return new UUID(high, Long.MIN_VALUE | lab.random().nextLong() >>> 2).toString();
    }
}
