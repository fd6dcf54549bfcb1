package org.verbenadyke.kernel.serve;

import java.util.Optional;

/**
 * The body of a complete answer, as long as there is memory for it. Thread-safe.
 */
final class StoredAnswer {
    private volatile byte[] body;

    private StoredAnswer(byte[] body) {
        this.body = body;
    }

    static StoredAnswer of(byte[] body) {
        return new StoredAnswer(body);
    }

    /** Returns the body, empty once it was dropped. */
    Optional<byte[]> body() {
        return Optional.ofNullable(body);
    }

    /** Drops the body, and returns its size in bytes; called once. */
    int drop() {
        int bytes = body.length;
        body = null;
        return bytes;
    }
}
