package org.verbenadyke.node.http1;

import java.util.Arrays;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Collects the parts of a body that one read of the socket brings, so that a server that sends a byte at a time doesn't
 * make each byte a part of its own. Confined to the connection's event loop.
 */
final class PartCollector {
    /** The size from which a part is passed on at once, in bytes: as much as one read brings at most. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] EMPTY = {};

    private byte[] collected = EMPTY;
    private int length;

    /** Adds the rest of a buffer. */
    void add(ByteBuf part) {
        int added = part.readableBytes();
        if (length + added > collected.length) {
            // The first part is most often the only one, and then needs no copy.
            collected = Arrays.copyOf(collected, length == 0 ? added : Math.max(length + added, 2 * length));
        }
        part.readBytes(collected, length, added);
        length += added;
    }

    /** Returns whether the collected parts are to be passed on at once. */
    boolean full() {
        return length >= MAX_BYTES;
    }

    /** Returns the collected parts as one and forgets them; empty if there are none. */
    Optional<byte[]> take() {
        if (length == 0) {
            return Optional.empty();
        }
        byte[] taken = length == collected.length ? collected : Arrays.copyOf(collected, length);
        clear();
        return Optional.of(taken);
    }

    /** Forgets the collected parts. */
    void clear() {
        collected = EMPTY;
        length = 0;
    }
}
