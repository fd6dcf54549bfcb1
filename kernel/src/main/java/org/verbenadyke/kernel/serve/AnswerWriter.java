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
 * Writes one answer to the node above: in fragments as the caller allows them, or, for a call that may run only once,
 * whole from a kept copy that can be sent again. A kept answer that grows too large is streamed like any other.
 */
final class AnswerWriter {
    private final CallId id;
    private final int keptMost;
    private boolean keeping;
    private boolean complete;
    private long credit;
    private long sent;
    private Message.Head head;
    private ByteArrayOutputStream kept = new ByteArrayOutputStream(0);

    AnswerWriter(CallId id, ServeSettings settings, boolean keeping) {
        this.id = id;
        this.keptMost = settings.keptBytes();
        this.credit = settings.windowBytes();
        this.keeping = keeping;
    }

    /** Adds credit and tells whether sending can go on now that could not before. */
    boolean credit(int bytes) {
        boolean blocked = !wantsMore();
        credit += bytes;
        return blocked && wantsMore() && head != null && !complete;
    }

    boolean wantsMore() {
        return keeping || credit > 0;
    }

    void head(Message.Head newHead, Link link) {
        head = newHead;
        if (!keeping) {
            link.send(newHead);
        }
    }

    void data(byte[] bytes, Link link) {
        if (!keeping) {
            sendData(bytes, link);
            return;
        }
        kept.writeBytes(bytes);
        if (kept.size() > keptMost) {
            keeping = false;
            link.send(head);
            sendData(kept.toByteArray(), link);
            kept = new ByteArrayOutputStream(0);
        }
    }

    void end(Link link) {
        complete = true;
        if (keeping) {
            sendKept(link);
        } else {
            link.send(new Message.End(id, sent));
        }
    }

    /** Sends the outcome of another try as this one's answer. */
    void whole(StoredOutcome.CompleteAnswer whole, Link link, Message.Report report) {
        head = new Message.Head(id, whole.status(), whole.headers(), true, report);
        kept.writeBytes(whole.body());
        complete = true;
        sendKept(link);
    }

    /** Sends the answer again over another link; false when there is none to send. */
    boolean replay(Link link, Supplier<Message.Report> report) {
        if (!complete || !keeping) {
            return false;
        }
        head = new Message.Head(id, head.status(), head.headers(), head.retriesExhausted(), report.get());
        sendKept(link);
        return true;
    }

    StoredOutcome kept() {
        if (!complete || !keeping) {
            return new StoredOutcome.NoAnswer(new Refusal(RunState.RAN, RefusalReason.KEY_OUTCOME_UNKNOWN, 0));
        }
        return new StoredOutcome.CompleteAnswer(head.status(), head.headers(), kept.toByteArray());
    }

    private void sendKept(Link link) {
        sent = 0;
        link.send(head);
        if (kept.size() > 0) {
            sendData(kept.toByteArray(), link);
        }
        link.send(new Message.End(id, sent));
    }

    private void sendData(byte[] bytes, Link link) {
        link.send(new Message.Data(id, sent, bytes));
        sent += bytes.length;
        credit -= bytes.length;
    }
}
