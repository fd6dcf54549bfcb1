package org.verbenadyke.node.http1;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenadyke.kernel.call.HeaderField;

/** Records an answer and how its call ended. */
final class RecordedAnswer implements AnswerListener {
    private static final int TIMEOUT_SECONDS = 20;

    private final CompletableFuture<String> result = new CompletableFuture<>();
    private final CountDownLatch firstData = new CountDownLatch(1);
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong parts = new AtomicLong();
    private final boolean matches;

    private RecordedAnswer(boolean matches) {
        this.matches = matches;
    }

    /** Records the answer to a call. */
    static RecordedAnswer ofCall() {
        return new RecordedAnswer(true);
    }

    /** Records the end of a call that no answer belongs to. */
    static RecordedAnswer matchingNone() {
        return new RecordedAnswer(false);
    }

    /** Waits for the end of the call and returns its name. */
    String outcome() throws Exception {
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    boolean ended() {
        return result.isDone();
    }

    /** Waits for the first part of the body. */
    void awaitData() throws InterruptedException {
        if (!firstData.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("no part of the body came");
        }
    }

    long bytes() {
        return bytes.get();
    }

    /** Returns the number of parts that the body came in. */
    long parts() {
        return parts.get();
    }

    @Override
    public void unreachable() {
        result.complete("unreachable");
    }

    @Override
    public boolean matches(int status, List<HeaderField> fields) {
        return matches;
    }

    @Override
    public void head(int status, List<HeaderField> fields) {
        // The body and the end tell whether the answer is whole.
    }

    @Override
    public void data(byte[] part) {
        bytes.addAndGet(part.length);
        parts.incrementAndGet();
        firstData.countDown();
    }

    @Override
    public void end() {
        result.complete("end");
    }

    @Override
    public void broken() {
        result.complete("broken");
    }

    @Override
    public void closed() {
        result.complete("closed");
    }
}
