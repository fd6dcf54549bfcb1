package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.message.Message;

/**
 * Gathers what a caller allows of an answer's body, so that it is passed on in pieces worth a message.
 */
final class OwedCredit {
    private static final int LEAST = 64 * 1024;

    private int owed;

    void add(int bytes) {
        owed += bytes;
    }

    /** Passes the credit on to the node beside the upstream, once there is enough. */
    void pay(Attempt attempt) {
        if (attempt != null && attempt.sent() && owed >= LEAST) {
            attempt.link().send(new Message.Credit(attempt.id(), owed));
            owed = 0;
        }
    }
}
