package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.message.Message;

/**
 * Fences off calls that waited unread, for example in the buffers of a paused process. The receiver's own clock proves
 * freshness: the receiver sends its clock readings over the link, and the sender returns the latest one with each call.
 * The call was sent after that reading, so the reading bounds the age of the call without comparing the clocks of both
 * sides.
 */
final class Freshness {
    private static final long NANOS_PER_MICRO = 1_000L;

    private Freshness() {}

    /** Returns whether a non-idempotent call may be past its time to live by more than the grace period. */
    static boolean isStale(Message.Call call, long nowNanos, long graceNanos) {
        if (call.idempotent()) {
            return false;
        }
        long age = nowNanos - call.receiverClock();
        return call.receiverClock() == 0 || age > call.ttlMicros() * NANOS_PER_MICRO + graceNanos;
    }
}
