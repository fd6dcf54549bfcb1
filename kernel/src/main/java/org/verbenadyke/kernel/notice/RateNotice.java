package org.verbenadyke.kernel.notice;

/**
 * What an answer of an upstream states about the upstream's rate limit.
 */
public sealed interface RateNotice {
    /** The answer names no limit. */
    record None() implements RateNotice {}

    /**
     * The answer names a limit.
     *
     * @param perSecond the requests per second that the upstream accepts from all senders together; finite, at least 0
     */
    record Limit(double perSecond) implements RateNotice {}

    /**
     * The answer names a limit that can't be read.
     *
     * @param text the received text
     */
    record Unreadable(String text) implements RateNotice {}
}
