package org.verbenadyke.kernel.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Set;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.message.Message;

/**
 * Identifies equal requests across attempts, entry nodes and callers' repeats by method, host, path with query, body,
 * team, and the credentials that identify the caller. All other header fields may differ between attempts.
 *
 * <p>128 bits of SHA-256: with a shorter or unkeyed fast hash a caller could craft a request with the same digest as
 * another caller's request, and get that one refused.
 *
 * @param pathHash a short hash of the path, to rule out most requests without reading their bodies
 * @param high the upper half of the digest
 * @param low the lower half of the digest
 */
public record RequestDigest(int pathHash, long high, long low) {
    /** The header fields that identify the host and the caller. */
    private static final Set<String> IDENTITY_HEADERS = Set.of("host", "authorization", "api-key", "cookie");

    /**
     * Digests a request.
     *
     * @param content the request
     * @return its digest
     */
    public static RequestDigest of(Message.Content content) {
        MessageDigest sha = sha256();
        updateWithLength(sha, content.method().getBytes(StandardCharsets.UTF_8));
        updateWithLength(sha, content.path().getBytes(StandardCharsets.UTF_8));
        content.headers().stream()
                .filter(f -> IDENTITY_HEADERS.contains(f.name().toLowerCase(Locale.ROOT)))
                .map(RequestDigest::line)
                .sorted()
                .forEach(line -> updateWithLength(sha, line.getBytes(StandardCharsets.UTF_8)));
        updateWithLength(sha, content.body());
        updateWithLength(sha, content.team().getBytes(StandardCharsets.UTF_8));
        ByteBuffer digest = ByteBuffer.wrap(sha.digest());
        return new RequestDigest(pathHashOf(content), digest.getLong(), digest.getLong());
    }

    /**
     * Hashes the path of a request.
     *
     * @param content the request
     * @return the hash that its digest holds
     */
    public static int pathHashOf(Message.Content content) {
        return content.path().hashCode();
    }

    /** Adds a part with its length, so that no two different requests yield the same bytes. */
    private static void updateWithLength(MessageDigest sha, byte[] bytes) {
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        sha.update(bytes);
    }

    private static String line(HeaderField field) {
        return field.name().toLowerCase(Locale.ROOT) + ":" + field.value();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
