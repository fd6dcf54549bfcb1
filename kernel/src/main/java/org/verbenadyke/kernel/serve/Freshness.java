package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.message.Message;

/**
 * The fence against calls that waited unseen, as in the buffers of a paused process. The proof of freshness is the
 * receiver's own clock: it lends its reading over the link, and the sender returns the newest with each call, so that
 * the call can't be older than that reading tells, whatever the two clocks show.
 */
final class Freshness {
    private static final long NANOS_PER_MICRO = 1_000L;

    private Freshness() {}

    /** Tells whether a call that must not run twice may be past its time to live by more than the grace. */
    static boolean isStale(Message.Call call, long nowNanos, long graceNanos) {
        if (call.idempotent()) {
            return false;
        }
        long age = nowNanos - call.receiverClock();
        return call.receiverClock() == 0 || age > call.ttlMicros() * NANOS_PER_MICRO + graceNanos;
    }
}
