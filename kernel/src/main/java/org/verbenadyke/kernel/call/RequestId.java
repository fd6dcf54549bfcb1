package org.verbenadyke.kernel.call;

/**
 * Identifies one request of a caller along its whole call chain.
 *
 * @param incarnation the incarnation of the node where the request entered the system
 * @param sequence a number that the incarnation assigns only once
 */
public record RequestId(long incarnation, long sequence) {
    /** Number of admission buckets; a power of two. */
    public static final int BUCKETS = 256;

    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int HALF_SHIFT = 33;

    /** Bits of a sample: as many as a double holds exactly. */
    private static final int SAMPLE_BITS = 53;

    /**
     * Hashes the id evenly into a bucket, the same on every node, so that admission is consistent along the chain.
     *
     * @return the bucket, from 0 to {@link #BUCKETS} - 1
     */
    public int bucket() {
        return (int) (mix(incarnation * MIX_2 + sequence) & (BUCKETS - 1));
    }

    /**
     * Hashes the id evenly into a number, the same on every node and independent of the bucket.
     *
     * @param salt names the decision that the number is for; different salts give independent numbers
     * @return the number, from 0 to less than 1
     */
    public double sample(long salt) {
        long h = mix(mix(incarnation * MIX_2 + sequence) + salt);
        return (double) (h >>> (Long.SIZE - SAMPLE_BITS)) / (1L << SAMPLE_BITS);
    }

    private static long mix(long bits) {
        long h = (bits ^ (bits >>> HALF_SHIFT)) * MIX_1;
        h = (h ^ (h >>> HALF_SHIFT)) * MIX_2;
        return h ^ (h >>> HALF_SHIFT);
    }

    @Override
    public String toString() {
        return Long.toHexString(incarnation) + "-" + Long.toHexString(sequence);
    }
}
