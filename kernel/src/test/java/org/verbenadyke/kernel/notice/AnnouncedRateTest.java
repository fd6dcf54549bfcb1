package org.verbenadyke.kernel.notice;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests {@link AnnouncedRate}. */
final class AnnouncedRateTest {
    private static final long MILLI = 1_000_000L;

    private final AnnouncedRate rate = AnnouncedRate.unlimited();

    @Test
    void holdsUntilACallHandedOverLaterIsAnsweredWithoutALimit() {
        assertEquals(new RateChange.Named(5), limit(5, 0, 10));
        rate.recordHandOver();
        rate.recordHandOver();
        assertInstanceOf(RateChange.Unchanged.class, none(9, 11));
        assertEquals(new RateChange.Ended(5, 30, 2), none(12, 40));
        assertFalse(rate.limited());
    }

    @Test
    void isNotRaisedByAnAnswerThatWasOvertaken() {
        limit(5, 0, 10);
        assertInstanceOf(RateChange.Unchanged.class, limit(50, 9, 11));
        assertEquals(5, rate.perSecond());
        assertEquals(new RateChange.Changed(5, 50), limit(50, 12, 20));
    }

    @Test
    void isLoweredAtOnce() {
        limit(30, 0, 10);
        assertEquals(new RateChange.Changed(30, 10), limit(10, 0, 11));
    }

    @Test
    void isNotEndedByAnAnswerMadeBeforeTheLastOneWithTheLimit() {
        limit(5, 0, 10);
        limit(5, 11, 20);
        assertInstanceOf(RateChange.Unchanged.class, none(15, 21));
        assertInstanceOf(RateChange.Ended.class, none(21, 30));
    }

    @Test
    void keepsTheLimitWhenAnotherCannotBeRead() {
        limit(5, 0, 10);
        assertEquals(
                new RateChange.Rejected("x", 5), rate.received(new RateNotice.Unreadable("x"), 11 * MILLI, 12 * MILLI));
        assertEquals(5, rate.perSecond());
    }

    @Test
    void countsHandOversFromEachNamingAnew() {
        limit(5, 0, 10);
        rate.recordHandOver();
        none(11, 20);
        rate.recordHandOver();
        limit(7, 21, 30);
        rate.recordHandOver();
        assertEquals(new RateChange.Ended(7, 10, 1), none(31, 40));
    }

    private RateChange limit(double perSecond, long handedOverMillis, long nowMillis) {
        return rate.received(new RateNotice.Limit(perSecond), handedOverMillis * MILLI, nowMillis * MILLI);
    }

    private RateChange none(long handedOverMillis, long nowMillis) {
        return rate.received(new RateNotice.None(), handedOverMillis * MILLI, nowMillis * MILLI);
    }
}
