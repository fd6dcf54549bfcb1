package org.verbenadyke.standins.upstream;

/**
 * Response bodies of the stand-in upstreams. The content follows from the request, so a caller can check every byte.
 */
public final class AnswerBodies {
    private static final int PERIOD = 251;

    private AnswerBodies() {}

    /**
     * Returns the text body of an answer.
     *
     * @param service the service that answers
     * @param operation the requested operation
     * @param id the requested id
     * @param nestedAnswers the joined answers of the nested calls
     * @return the body
     */
    public static String textBody(String service, String operation, String id, String nestedAnswers) {
        return service + "/" + operation + "?id=" + id + "(" + nestedAnswers + ")";
    }

    /**
     * Returns a part of a large body. Each byte is a function of its position and of the id.
     *
     * @param id the requested id
     * @param offset position of the first byte of the part in the body
     * @param length length of the part in bytes
     * @return the bytes
     */
    public static byte[] largeBodyPart(String id, long offset, int length) {
        int seed = Math.floorMod(id.hashCode(), PERIOD);
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) ((offset + i + seed) % PERIOD);
        }
        return bytes;
    }
}
