package org.verbenadyke.node.http1;

import java.nio.charset.StandardCharsets;

import io.netty.util.ByteProcessor;

/**
 * Checks the bytes of a status line against RFC 9112, section 4: a version of HTTP/1, a status code of three digits
 * from 100 to 599, and a reason phrase without control characters, separated by one space each. The reason phrase may
 * be missing together with its space. The line arrives in parts of any size.
 */
public final class StatusLineValidator implements ByteProcessor {
    private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int MINOR_VERSION = VERSION.length;
    private static final int STATUS_SPACE = MINOR_VERSION + 1;
    private static final int STATUS_CLASS = STATUS_SPACE + 1;
    private static final int STATUS_END = STATUS_CLASS + 3;
    private static final int DELETE = 0x7f;

    private int position;
    private boolean returned;
    private boolean complete;
    private boolean valid = true;

    /** Expects the first byte of another status line. */
    public void reset() {
        position = 0;
        returned = false;
        complete = false;
        valid = true;
    }

    /**
     * Returns whether the line is complete.
     *
     * @return whether the end of the line has arrived
     */
    public boolean complete() {
        return complete;
    }

    /**
     * Returns whether the line is valid as far as it has arrived.
     *
     * @return whether an answer may begin so
     */
    public boolean valid() {
        return valid;
    }

    /** Checks the next byte, and returns whether the line goes on. */
    @Override
    public boolean process(byte value) {
        if (value == '\n') {
            complete = true;
            valid &= position >= STATUS_END;
            return false;
        }
        // Within the line a carriage return is a control character.
        valid &= !returned;
        returned = value == '\r';
        if (!returned) {
            valid &= isAllowed(value);
            position++;
        }
        return true;
    }

    private boolean isAllowed(byte value) {
        if (position < MINOR_VERSION) {
            return value == VERSION[position];
        }
        if (position == MINOR_VERSION) {
            return value == '0' || value == '1';
        }
        if (position == STATUS_SPACE || position == STATUS_END) {
            return value == ' ';
        }
        if (position == STATUS_CLASS) {
            return value >= '1' && value <= '5';
        }
        if (position < STATUS_END) {
            return value >= '0' && value <= '9';
        }
        int octet = Byte.toUnsignedInt(value);
        return octet >= ' ' && octet != DELETE || octet == '\t';
    }
}
