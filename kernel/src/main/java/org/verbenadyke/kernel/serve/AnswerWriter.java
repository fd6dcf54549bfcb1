package org.verbenadyke.kernel.serve;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Writes one answer to the calling node. The answer of an idempotent call is streamed as flow-control credit allows.
 * The answer of a non-idempotent call is stored and sent as a whole, so that it can be sent again; once it exceeds the
 * maximum size, it is streamed like any other.
 */
final class AnswerWriter {
    private final CallId id;
    private final int maxStoredBytes;
    private boolean storing;
    private boolean complete;
    private long credit;
    private long sent;
    private Message.Head head;
    private ByteArrayOutputStream stored = new ByteArrayOutputStream(0);

    AnswerWriter(CallId id, ServeSettings settings, boolean storing) {
        this.id = id;
        this.maxStoredBytes = settings.maxStoredBytes();
        this.credit = settings.initialCreditBytes();
        this.storing = storing;
    }

    /** Adds credit and returns whether that unblocks sending. */
    boolean credit(int bytes) {
        boolean blocked = !wantsMore();
        credit += bytes;
        return blocked && wantsMore() && head != null && !complete;
    }

    boolean wantsMore() {
        return storing || credit > 0;
    }

    void head(Message.Head newHead, Link link) {
        head = newHead;
        if (!storing) {
            link.send(newHead);
        }
    }

    void data(byte[] bytes, Link link) {
        if (!storing) {
            sendData(bytes, link);
            return;
        }
        stored.writeBytes(bytes);
        if (stored.size() > maxStoredBytes) {
            storing = false;
            link.send(head);
            sendData(stored.toByteArray(), link);
            stored = new ByteArrayOutputStream(0);
        }
    }

    void end(Link link) {
        complete = true;
        if (storing) {
            sendStored(link);
        } else {
            link.send(new Message.End(id, sent));
        }
    }

    /** Sends the stored answer of an earlier attempt as the answer. */
    void writeWhole(StoredOutcome.CompleteAnswer earlier, Link link, Message.Report report) {
        head = new Message.Head(id, earlier.status(), earlier.headers(), true, report);
        stored.writeBytes(earlier.body());
        complete = true;
        sendStored(link);
    }

    /** Sends the stored answer again over another link; returns false when no complete answer is stored. */
    boolean replay(Link link, Supplier<Message.Report> report) {
        if (!complete || !storing) {
            return false;
        }
        head = new Message.Head(id, head.status(), head.headers(), head.retriesExhausted(), report.get());
        sendStored(link);
        return true;
    }

    StoredOutcome stored() {
        if (!complete || !storing) {
            return new StoredOutcome.NoAnswer(new Refusal(RunState.RAN, RefusalReason.KEY_OUTCOME_UNKNOWN, 0));
        }
        return new StoredOutcome.CompleteAnswer(head.status(), head.headers(), stored.toByteArray());
    }

    private void sendStored(Link link) {
        sent = 0;
        link.send(head);
        if (stored.size() > 0) {
            sendData(stored.toByteArray(), link);
        }
        link.send(new Message.End(id, sent));
    }

    private void sendData(byte[] bytes, Link link) {
        link.send(new Message.Data(id, sent, bytes));
        sent += bytes.length;
        credit -= bytes.length;
    }
}
