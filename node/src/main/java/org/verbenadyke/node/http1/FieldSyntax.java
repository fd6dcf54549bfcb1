package org.verbenadyke.node.http1;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks header fields against RFC 9110, section 5.1, and RFC 9112, sections 5.1 and 6: a name consists of the
 * characters of a token, the colon follows at once, and the body has one framing.
 */
final class FieldSyntax {
    private static final BitSet TOKEN = new BitSet();

    static {
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                .chars()
                .forEach(TOKEN::set);
    }

    private FieldSyntax() {}

    /**
     * Checks the name of a field.
     *
     * @param line holds the line of the field
     * @param start the index of the first byte of the name
     * @param length the length up to the colon, or up to the first blank before it
     * @throws IllegalArgumentException if the name is empty, has another byte than those of a token, or a blank follows
     */
    static void checkName(byte[] line, int start, int length) {
        int end = start + length;
        boolean valid = length > 0 && end < line.length && line[end] == ':';
        for (int i = start; valid && i < end; i++) {
            valid = TOKEN.get(Byte.toUnsignedInt(line[i]));
        }
        if (!valid) {
            throw new IllegalArgumentException("name of a field is no token: "
                    + printable(new String(line, start, length, StandardCharsets.ISO_8859_1)));
        }
    }

    /**
     * Finds what is wrong with the framing of a message. The only transfer coding is the chunked one, as this node
     * never states that it accepts another.
     *
     * @param head the head of the message
     * @return the fault, empty if there is none
     */
    static Optional<String> framingFault(HttpMessage head) {
        if (!head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return Optional.empty();
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst())) {
            return Optional.of("transfer coding other than chunked");
        }
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return Optional.of("transfer coding before HTTP/1.1");
        }
        return Optional.empty();
    }

    /** Returns the fault of a message with two framings. */
    static IllegalArgumentException twoFramings() {
        return new IllegalArgumentException("both a length and a transfer coding");
    }

    private static String printable(String name) {
        return name.replaceAll("[^\\x20-\\x7e]", "?");
    }
}
