package org.verbenadyke.kernel.serve;

import java.io.ByteArrayOutputStream;
import java.util.function.Supplier;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeptAnswer;

/**
 * Writes one answer to the node above: in fragments as the caller allows them, or, for a call that may run only once,
 * whole from a kept copy that can be sent again. A kept answer that grows too large is streamed like any other.
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

    AnswerWriter(CallId id, ServeSettings settings, boolean keeping) {
        this.id = id;
        this.maxStoredBytes = settings.maxStoredBytes();
        this.credit = settings.initialCreditBytes();
        this.storing = keeping;
    }

    /** Adds credit and tells whether sending can go on now that could not before. */
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

    /** Sends the outcome of another try as this one's answer. */
    void writeWhole(KeptAnswer.Whole whole, Link link, Message.Report report) {
        head = new Message.Head(id, whole.status(), whole.headers(), true, report);
        stored.writeBytes(whole.body());
        complete = true;
        sendStored(link);
    }

    /** Sends the answer again over another link; false when there is none to send. */
    boolean replay(Link link, Supplier<Message.Report> report) {
        if (!complete || !storing) {
            return false;
        }
        head = new Message.Head(id, head.status(), head.headers(), head.settled(), report.get());
        sendStored(link);
        return true;
    }

    KeptAnswer stored() {
        if (!complete || !storing) {
            return new KeptAnswer.Lost(new Refusal(RunState.RAN, RefusalReason.KEY_OUTCOME_UNKNOWN, 0));
        }
        return new KeptAnswer.Whole(head.status(), head.headers(), stored.toByteArray());
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
