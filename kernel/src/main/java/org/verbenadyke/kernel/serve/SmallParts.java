package org.verbenadyke.kernel.serve;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Joins the small parts of a streamed answer. Flow control counts the bytes of the body, while a message costs a few
 * hundred bytes of memory whatever its size: without this, an upstream that sends a byte at a time would fill the
 * memory of both nodes within the credit of one call. A small part is held for a short time at most. Runs inside the
 * serial executor of its call.
 */
final class SmallParts {
    /** The size from which a part is sent at once, in bytes: several times what its message costs besides. */
    static final int MIN_BYTES = 1_024;

    /** The least time between two parts that are smaller, in nanoseconds. */
    static final long MIN_INTERVAL_NANOS = 20_000_000L;

    private final TimerService timers;
    private final SerialExecutor serial;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);
    private long smallSentNanos;
    private boolean smallSent;
    private Consumer<byte[]> sender = part -> {};
    private Subscription timer = () -> {};

    SmallParts(TimerService timers, SerialExecutor serial) {
        this.timers = timers;
        this.serial = serial;
    }

    /** Passes a part to its sender, now or together with the next ones. */
    void add(byte[] part, Consumer<byte[]> newSender) {
        sender = newSender;
        if (held.size() == 0 && (part.length >= MIN_BYTES || waitNanos() <= 0)) {
            send(part);
            return;
        }
        if (held.size() == 0) {
            timer = timers.after(waitNanos(), () -> serial.run(this::flush));
        }
        held.writeBytes(part);
        if (held.size() >= MIN_BYTES) {
            flush();
        }
    }

    /** Sends what is held. */
    void flush() {
        timer.cancel();
        if (held.size() > 0) {
            byte[] part = held.toByteArray();
            held.reset();
            send(part);
        }
    }

    /** Drops what is held. */
    void drop() {
        timer.cancel();
        held.reset();
    }

    private void send(byte[] part) {
        if (part.length < MIN_BYTES) {
            smallSent = true;
            smallSentNanos = timers.nanos();
        }
        sender.accept(part);
    }

    private long waitNanos() {
        return smallSent ? smallSentNanos + MIN_INTERVAL_NANOS - timers.nanos() : 0;
    }
}
