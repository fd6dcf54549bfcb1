package org.verbenadyke.kernel.dispatch;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.trace.Decision;

/**
 * Inquires over a new connection about an attempt that must not run twice. The called node replies with the stored
 * answer, with a refusal that carries the execution status, or with a seal: the attempt never started and never will. A
 * process that can't know, such as one that started after the attempt was sent, replies that the attempt may have run.
 */
final class Inquiry {
    private static final long RECONNECT_PAUSE_NANOS = 50_000_000L;

    private final Dispatcher.Parts parts;
    private final Attempt attempt;
    private final SerialExecutor serial;
    private final BooleanSupplier stillWanted;
    private final Consumer<Attempt> onLinkLoss;

    private Inquiry(
            Dispatcher.Parts parts,
            Attempt attempt,
            SerialExecutor serial,
            BooleanSupplier wanted,
            Consumer<Attempt> lost) {
        this.parts = parts;
        this.attempt = attempt;
        this.serial = serial;
        this.stillWanted = wanted;
        this.onLinkLoss = lost;
    }

    /** Sends the inquiry, reconnecting until a link is available or the request no longer needs the result. */
    static void start(
            Dispatcher.Parts parts,
            Attempt attempt,
            SerialExecutor serial,
            BooleanSupplier wanted,
            Consumer<Attempt> lost) {
        parts.counters().count(Event.INQUIRED);
        new Inquiry(parts, attempt, serial, wanted, lost).connect();
    }

    private void connect() {
        parts.links().acquire(attempt.candidate().upstream().node(), link -> serial.run(() -> send(link)));
    }

    private void send(Optional<Link> link) {
        if (!stillWanted.getAsBoolean()) {
            return;
        }
        if (link.isEmpty()) {
            parts.timers().after(RECONNECT_PAUSE_NANOS, () -> serial.run(this::retryConnect));
            return;
        }
        attempt.bind(link.get());
        parts.decisions()
                .note(new Decision.StatusInquired(
                        attempt.dispatch().requestId(),
                        attempt.id(),
                        attempt.candidate().upstream().id(),
                        attempt.targetIncarnation(),
                        link.get().peerIncarnation()));
        link.get().send(attempt.inquiry());
        if (link.get().closed()) {
            onLinkLoss.accept(attempt);
        }
    }

    private void retryConnect() {
        if (stillWanted.getAsBoolean()) {
            connect();
        }
    }
}
