package org.verbenadyke.kernel.notice;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.call.HeaderField;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link NoticeReader}. */
final class NoticeReaderTest {
    @ParameterizedTest
    @CsvSource({"0, 0", "0.3, 0.3", "44.9, 44.9", "10000, 10000", "' 2 ', 2"})
    void readsADecimalNumber(String text, double perSecond) {
        assertEquals(new RateNotice.Limit(perSecond), read(text).rate());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "NaN", "1e300", "1,5", "1.5.2", "Infinity", "0x10", "9999999999", "2/s"})
    void rejectsWhatIsNoDecimalNumber(String text) {
        assertEquals(new RateNotice.Unreadable(text), read(text).rate());
    }

    @Test
    void keepsOnlyTheBeginningOfALongValue() {
        assertEquals(
                new RateNotice.Unreadable("x".repeat(64)),
                read("x".repeat(9_000)).rate());
    }

    @Test
    void takesTheLowestOfSeveralLimits() {
        assertEquals(new RateNotice.Limit(2), read("7", "2", "30").rate());
    }

    @Test
    void trustsNoneOfSeveralLimitsIfOneIsUnreadable() {
        assertEquals(new RateNotice.Unreadable("x"), read("7", "x").rate());
        assertEquals(new RateNotice.Unreadable("x"), read("x", "7").rate());
    }

    @Test
    void readsThatTheUpstreamIsLeaving() {
        assertTrue(leaving("1").leaving());
        assertFalse(leaving("0").leaving());
        assertFalse(leaving("").leaving());
        assertEquals(UpstreamNotice.NONE, leaving("0"));
    }

    private static UpstreamNotice read(String... limits) {
        List<HeaderField> fields =
                Stream.of(limits).map(l -> new HeaderField("Limit", l)).toList();
        return NoticeReader.read(fields, "limit", "leaving");
    }

    private static UpstreamNotice leaving(String value) {
        return NoticeReader.read(List.of(new HeaderField("Leaving", value)), "limit", "leaving");
    }
}
