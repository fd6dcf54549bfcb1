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

    /** The hash bits that {@link #fraction} uses, and the value of the last one. */
    private static final int FRACTION_BITS = 53;

    private static final double FRACTION_UNIT = 0x1p-53;

    /**
     * Hashes the id evenly into a bucket, the same on every node, so that admission is consistent along the chain.
     *
     * @return the bucket, from 0 to {@link #BUCKETS} - 1
     */
    public int bucket() {
        return (int) (hash() & (BUCKETS - 1));
    }

    /**
     * Hashes the id evenly into a number, the same on every node, to select a share of the requests. It is independent
     * of the bucket, so that the selected requests spread over all ranks of an importance.
     *
     * @return the number, from 0 inclusive to 1 exclusive
     */
    public double fraction() {
        return (hash() >>> (Long.SIZE - FRACTION_BITS)) * FRACTION_UNIT;
    }

    private long hash() {
        long h = incarnation * MIX_2 + sequence;
        h = (h ^ (h >>> HALF_SHIFT)) * MIX_1;
        h = (h ^ (h >>> HALF_SHIFT)) * MIX_2;
        return h ^ (h >>> HALF_SHIFT);
    }

    @Override
    public String toString() {
        return Long.toHexString(incarnation) + "-" + Long.toHexString(sequence);
    }
}
