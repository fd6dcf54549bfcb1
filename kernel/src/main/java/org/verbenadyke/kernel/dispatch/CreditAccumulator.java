package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.message.Message;

/**
 * Accumulates the flow-control credit that a caller grants for an answer's body, so that credit is replenished in
 * amounts worth a message.
 */
final class CreditAccumulator {
    private static final int MIN_MESSAGE_BYTES = 64 * 1024;

    private int pendingBytes;

    void add(int bytes) {
        pendingBytes += bytes;
    }

    /** Sends the accumulated credit to the called node, once there is enough. */
    void flush(Attempt attempt) {
        if (attempt != null && attempt.sent() && pendingBytes >= MIN_MESSAGE_BYTES) {
            attempt.link().send(new Message.Credit(attempt.id(), pendingBytes));
            pendingBytes = 0;
        }
    }
}
