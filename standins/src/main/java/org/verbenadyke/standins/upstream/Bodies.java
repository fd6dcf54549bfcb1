package org.verbenadyke.standins.upstream;

/**
 * The bodies that stand-in upstreams answer with, so that a caller can check each byte.
 */
public final class Bodies {
    private static final int PERIOD = 251;

    private Bodies() {}

    /**
     * Words an answer.
     *
     * @param service the service that answers
     * @param operation what was asked for
     * @param id the id it was asked for
     * @param below the answers of the calls below, joined
     * @return the body
     */
    public static String text(String service, String operation, String id, String below) {
        return service + "/" + operation + "?id=" + id + "(" + below + ")";
    }

    /**
     * Makes a part of a large body.
     *
     * @param id the id it was asked for
     * @param offset where the part begins
     * @param length its length
     * @return the bytes
     */
    public static byte[] part(String id, long offset, int length) {
        int seed = Math.floorMod(id.hashCode(), PERIOD);
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) ((offset + i + seed) % PERIOD);
        }
        return bytes;
    }
}
