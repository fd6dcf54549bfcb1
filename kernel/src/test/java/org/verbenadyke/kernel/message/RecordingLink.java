package org.verbenadyke.kernel.message;

import java.util.ArrayList;
import java.util.List;

/** A link that notes what is sent on it. */
public final class RecordingLink implements Link {
    private final List<Message> sent = new ArrayList<>();
    private boolean closed;

    /**
     * Returns what was sent.
     *
     * @return the messages in order
     */
    public List<Message> sent() {
        return sent;
    }

    /**
     * Returns the calls that were sent.
     *
     * @return the calls in order
     */
    public List<Message.Call> calls() {
        return sent.stream()
                .filter(Message.Call.class::isInstance)
                .map(Message.Call.class::cast)
                .toList();
    }

    @Override
    public void send(Message message) {
        sent.add(message);
    }

    @Override
    public void close() {
        closed = true;
    }

    @Override
    public long peerClock() {
        return 1;
    }

    @Override
    public long peerIncarnation() {
        return 1;
    }

    @Override
    public void adjustAwaited(int more) {
        // Nobody looks at it in tests.
    }

    @Override
    public boolean closed() {
        return closed;
    }
}
