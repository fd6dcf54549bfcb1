package org.verbenadyke.kernel.dispatch;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.trace.Decision;

/**
 * Asks over a new connection what became of an attempt that must not run twice. The answer is the kept answer, a
 * refusal that tells whether it ran, or a seal: the attempt never started and never will. A process that can't know, as
 * one that started after the attempt was sent, says that it may have run.
 */
final class Inquiry {
    private static final long PAUSE_NANOS = 50_000_000L;

    private final Dispatcher.Parts parts;
    private final Attempt attempt;
    private final SerialExecutor serial;
    private final BooleanSupplier wanted;
    private final Consumer<Attempt> lost;

    private Inquiry(
            Dispatcher.Parts parts,
            Attempt attempt,
            SerialExecutor serial,
            BooleanSupplier wanted,
            Consumer<Attempt> lost) {
        this.parts = parts;
        this.attempt = attempt;
        this.serial = serial;
        this.wanted = wanted;
        this.lost = lost;
    }

    /** Asks, again and again until a link is had or nobody wants to know any more. */
    static void ask(
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
        if (!wanted.getAsBoolean()) {
            return;
        }
        if (link.isEmpty()) {
            parts.timers().after(PAUSE_NANOS, () -> serial.run(this::again));
            return;
        }
        attempt.bind(link.get());
        parts.decisions()
                .note(new Decision.StatusInquired(
                        attempt.dispatch().requestId(),
                        attempt.id(),
                        attempt.candidate().upstream().id(),
                        attempt.sentTo(),
                        link.get().peerIncarnation()));
        link.get().send(attempt.inquiry());
        if (link.get().closed()) {
            lost.accept(attempt);
        }
    }

    private void again() {
        if (wanted.getAsBoolean()) {
            connect();
        }
    }
}
