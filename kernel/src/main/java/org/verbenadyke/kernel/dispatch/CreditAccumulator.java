package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.message.Message;

/**
 * Gathers what a caller allows of an answer's body, so that it is passed on in pieces worth a message.
 */
final class CreditAccumulator {
    private static final int MIN_MESSAGE_BYTES = 64 * 1024;

    private int pendingBytes;

    void add(int bytes) {
        pendingBytes += bytes;
    }

    /** Passes the credit on to the node beside the upstream, once there is enough. */
    void flush(Attempt attempt) {
        if (attempt != null && attempt.sent() && pendingBytes >= MIN_MESSAGE_BYTES) {
            attempt.link().send(new Message.Credit(attempt.id(), pendingBytes));
            pendingBytes = 0;
        }
    }
}
