package org.verbenadyke.kernel.call;

import java.util.List;

/**
 * Records the events that a caller receives, such as {@code head 200}, {@code data hello}, {@code end} and {@code
 * aborted}. A refusal is recorded as {@code refused} with run state, reason and Retry-After delay.
 *
 * @param events the list to record to
 */
public record RecordingSink(List<String> events) implements AnswerSink {
    @Override
    public void head(int status, List<HeaderField> headers) {
        events.add("head " + status);
    }

    @Override
    public void data(byte[] bytes) {
        events.add("data " + new String(bytes));
    }

    @Override
    public void end() {
        events.add("end");
    }

    @Override
    public void refused(Refusal r) {
        events.add("refused " + r.state() + " " + r.reason() + " " + r.retryAfterMillis());
    }

    @Override
    public void aborted() {
        events.add("aborted");
    }
}
