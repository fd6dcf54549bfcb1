package org.verbenadyke.bench.lab;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.dispatch.CallHandle;

/**
 * Collects an answer and replenishes flow-control credit as data arrives.
 */
abstract class CollectingSink implements AnswerSink {
    private final StringBuilder text = new StringBuilder();
    private CallHandle handle;
    private int status;

    void setHandle(CallHandle newHandle) {
        handle = newHandle;
    }

    int status() {
        return status;
    }

    String text() {
        return text.toString();
    }

    @Override
    public void head(int newStatus, List<HeaderField> headers) {
        status = newStatus;
    }

    @Override
    public void data(byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.ISO_8859_1));
        if (handle != null) {
            handle.credit(bytes.length);
        }
    }
}
