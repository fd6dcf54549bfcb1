package org.verbenadyke.kernel.notice;

import java.util.List;
import java.util.regex.Pattern;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * Reads what an upstream states about itself from the header fields of an answer.
 */
public final class NoticeReader {
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
    private static final String LEAVING = "1";

    /** The longest part of an unreadable value that is kept for the log: enough to tell what is wrong with it. */
    private static final int MAX_TEXT_CHARS = 64;

    private NoticeReader() {}

    /**
     * Reads a notice. Of several limits the lowest counts; if one of them is no decimal number, none can be trusted.
     *
     * @param fields the header fields of the answer
     * @param rateName the name of the field with the rate limit, in lower case
     * @param leavingName the name of the field that states that the upstream is leaving, in lower case
     * @return the notice
     */
    public static UpstreamNotice read(List<HeaderField> fields, String rateName, String leavingName) {
        RateNotice rate = UpstreamNotice.NONE.rate();
        boolean leaving = false;
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(rateName)) {
                rate = stricter(rate, parse(field.value().strip()));
            } else if (field.name().equalsIgnoreCase(leavingName)) {
                leaving |= field.value().strip().equals(LEAVING);
            }
        }
        return rate instanceof RateNotice.None && !leaving ? UpstreamNotice.NONE : new UpstreamNotice(rate, leaving);
    }

    private static RateNotice parse(String text) {
        return DECIMAL.matcher(text).matches()
                ? new RateNotice.Limit(Double.parseDouble(text))
                : new RateNotice.Unreadable(text.substring(0, Math.min(MAX_TEXT_CHARS, text.length())));
    }

    private static RateNotice stricter(RateNotice known, RateNotice next) {
        return switch (known) {
            case RateNotice.None n -> next;
            case RateNotice.Unreadable u -> u;
            case RateNotice.Limit l -> next instanceof RateNotice.Limit m && m.perSecond() > l.perSecond() ? l : next;
        };
    }
}
