package org.verbenadyke.kernel.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Stands for an API key wherever it is kept, compared or passed on: half of its SHA-256. The key can't be learned from
 * it, nor from the time that a look-up takes.
 *
 * @param high the upper half of the digest
 * @param low the lower half of the digest
 */
public record KeyDigest(long high, long low) {
    private static final int HEX_DIGITS = 2 * Long.BYTES * 2;

    /**
     * Digests a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new KeyDigest(digest.getLong(), digest.getLong());
    }

    /**
     * Reads a digest.
     *
     * @param hex what {@link #hex} returned
     * @return the digest, empty if the text is none
     */
    public static Optional<KeyDigest> parse(String hex) {
        if (hex.length() != HEX_DIGITS || !hex.chars().allMatch(HexFormat::isHexDigit)) {
            return Optional.empty();
        }
        int half = HEX_DIGITS / 2;
        return Optional.of(new KeyDigest(
                HexFormat.fromHexDigitsToLong(hex, 0, half), HexFormat.fromHexDigitsToLong(hex, half, HEX_DIGITS)));
    }

    /**
     * Words the digest.
     *
     * @return 32 hexadecimal digits
     */
    public String hex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest o && high == o.high && low == o.low;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(high) + Long.hashCode(low);
    }
}
