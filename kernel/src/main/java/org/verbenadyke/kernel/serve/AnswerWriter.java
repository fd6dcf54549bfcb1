package org.verbenadyke.kernel.serve;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Supplier;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Writes one answer to the calling node. The answer of an idempotent call is streamed as flow-control credit allows.
 * The answer of a non-idempotent call is stored and sent as a whole, so that it can be sent again; once it exceeds the
 * maximum size, or the memory for stored answers is used up, it is streamed like any other.
 */
final class AnswerWriter {
    private final CallId id;
    private final int maxStoredBytes;
    private final AnswerMemory memory;
    private final SmallParts smallParts;
    private boolean storing;
    private boolean complete;
    private boolean abandoned;
    private long credit;
    private long sent;
    private Message.Head head;
    private ByteArrayOutputStream stored = new ByteArrayOutputStream(0);
    private StoredAnswer whole;

    AnswerWriter(CallId id, ServeSettings settings, AnswerMemory memory, SmallParts smallParts, boolean storing) {
        this.id = id;
        this.memory = memory;
        this.smallParts = smallParts;
        this.maxStoredBytes = settings.maxStoredBytes();
        this.credit = settings.initialCreditBytes();
        this.storing = storing;
    }

    /** Creates the writer of the answer to a call, which runs inside a serial executor. */
    static AnswerWriter of(Message.Call call, CallServer server, SerialExecutor serial) {
        SmallParts smallParts = new SmallParts(server.parts().timers(), serial);
        return new AnswerWriter(call.id(), server.settings(), server.answerMemory(), smallParts, !call.idempotent());
    }

    /** Adds credit and returns whether that unblocks sending. */
    boolean credit(int bytes) {
        boolean blocked = !wantsMore();
        credit += bytes;
        return blocked && wantsMore() && head != null && !complete;
    }

    boolean wantsMore() {
        return storing || abandoned || credit > 0;
    }

    /** Returns whether the answer is being streamed: what was sent of it can't be sent again. */
    boolean streaming() {
        return head != null && !storing && !complete;
    }

    /** Returns whether nobody waits for the answer any more. */
    boolean abandoned() {
        return abandoned;
    }

    /**
     * Sends no more of a streamed answer, and returns whether that unblocks receiving. The rest is still received, so
     * that the upstream can end the answer and its slot becomes free.
     */
    boolean abandon() {
        boolean blocked = !wantsMore();
        abandoned = true;
        smallParts.drop();
        return blocked;
    }

    void head(Message.Head newHead, Link link) {
        head = newHead;
        if (!storing && !abandoned) {
            link.send(newHead);
        }
    }

    void data(byte[] bytes, Link link) {
        if (!storing) {
            stream(bytes, link);
            return;
        }
        if (stored.size() + bytes.length <= maxStoredBytes && memory.reserve(bytes.length)) {
            stored.writeBytes(bytes);
            return;
        }
        storing = false;
        if (!abandoned) {
            link.send(head);
        }
        if (stored.size() > 0) {
            stream(stored.toByteArray(), link);
        }
        stream(bytes, link);
        discard();
    }

    void end(Link link) {
        complete = true;
        if (storing) {
            byte[] body = stored.toByteArray();
            whole = StoredAnswer.of(body);
            stored = new ByteArrayOutputStream(0);
            memory.add(whole);
            sendStored(body, link);
        } else if (!abandoned) {
            smallParts.flush();
            link.send(new Message.End(id, sent));
        }
    }

    /** Sends the stored answer of an earlier attempt as the answer. */
    void writeWhole(StoredOutcome.CompleteAnswer earlier, Link link, Message.Report report) {
        head = new Message.Head(id, earlier.status(), earlier.headers(), true, report);
        complete = true;
        sendStored(earlier.body(), link);
    }

    /** Drops what is stored of an answer that will not be complete. */
    void discardIncomplete() {
        if (!complete) {
            smallParts.drop();
            discard();
        }
    }

    /** Drops what is stored of the answer. */
    void discard() {
        if (whole != null) {
            memory.remove(whole);
        } else {
            memory.release(stored.size());
            stored = new ByteArrayOutputStream(0);
        }
    }

    /** Returns the stored answer, if it is complete and there was memory for it until now. */
    private Optional<byte[]> storedBody() {
        return whole == null ? Optional.empty() : whole.body();
    }

    /** Sends the stored answer again over another link; returns false when no complete answer is stored. */
    boolean replay(Link link, Supplier<Message.Report> report) {
        Optional<byte[]> body = storedBody();
        if (body.isEmpty()) {
            return false;
        }
        head = new Message.Head(id, head.status(), head.headers(), head.retriesExhausted(), report.get());
        sendStored(body.get(), link);
        return true;
    }

    StoredOutcome stored() {
        return storedBody()
                .<StoredOutcome>map(b -> new StoredOutcome.CompleteAnswer(head.status(), head.headers(), b))
                .orElseGet(() ->
                        new StoredOutcome.NoAnswer(new Refusal(RunState.RAN, RefusalReason.KEY_OUTCOME_UNKNOWN, 0)));
    }

    private void sendStored(byte[] body, Link link) {
        sent = 0;
        link.send(head);
        if (body.length > 0) {
            sendData(body, link);
        }
        link.send(new Message.End(id, sent));
    }

    private void stream(byte[] bytes, Link link) {
        if (!abandoned) {
            smallParts.add(bytes, part -> sendData(part, link));
        }
    }

    private void sendData(byte[] bytes, Link link) {
        link.send(new Message.Data(id, sent, bytes));
        sent += bytes.length;
        credit -= bytes.length;
    }
}
