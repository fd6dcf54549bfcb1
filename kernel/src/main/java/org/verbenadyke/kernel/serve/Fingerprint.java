package org.verbenadyke.kernel.serve;

import java.util.Arrays;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * Hashes the request of a call, to distinguish a resend from another use of the same key.
 */
final class Fingerprint {
    private Fingerprint() {}

    static long of(Message.Call call) {
        String what = call.content().method() + " " + call.content().path();
        return Rendezvous.hash(call.target().service(), what)
                ^ Arrays.hashCode(call.content().body());
    }
}
