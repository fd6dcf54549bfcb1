package org.verbenadyke.kernel.team;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * A digest that replaces an API key wherever it is stored, compared or passed on: the first half of its SHA-256 hash.
 * Neither the digest nor the time that a look-up takes reveals the key.
 *
 * @param high the upper half of the digest
 * @param low the lower half of the digest
 */
public record KeyDigest(long high, long low) {
    private static final int HEX_DIGITS = 2 * Long.BYTES * 2;

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new KeyDigest(digest.getLong(), digest.getLong());
    }

    /**
     * Parses a digest.
     *
     * @param hex a digest in the form that {@link #hex} returns
     * @return the digest, empty if the text is not a digest
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
     * Formats the digest.
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

    // Written out because the derived methods are generated at their first use, which slows down process startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest o && high == o.high && low == o.low;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(high) + Long.hashCode(low);
    }
}
