package org.verbenadyke.kernel.dispatch;

import java.util.HashSet;
import java.util.Set;

import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.message.Repetition;

/**
 * The attempts that one request has behind it. Confined to the serial executor of its dispatch.
 */
final class AttemptHistory {
    private static final int MAX_REROUTES = 3;

    private final Set<String> tried = new HashSet<>();
    private int reroutes;
    private boolean reachedUpstream;

    /** Returns the upstreams that were tried. */
    Set<String> tried() {
        return tried;
    }

    void recordTried(String upstream) {
        tried.add(upstream);
    }

    /** Counts a reroute, and returns whether it may be made. */
    boolean tryReroute() {
        if (reroutes >= MAX_REROUTES) {
            return false;
        }
        reroutes++;
        return true;
    }

    void recordRetry(RetryReason reason) {
        reachedUpstream |= reason.reachedUpstream();
    }

    /** Returns what the next attempt repeats. */
    Repetition next(ChainObserver observer) {
        if (reachedUpstream) {
            return Repetition.RETRY;
        }
        return observer.repeated() ? Repetition.INHERITED : Repetition.NONE;
    }
}
