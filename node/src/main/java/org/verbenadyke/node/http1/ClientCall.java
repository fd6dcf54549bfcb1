package org.verbenadyke.node.http1;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * One request sent through a pool and the state of its answer. Confined to its connection's event loop once the request
 * has a connection.
 *
 * <p>Once the answer is throttled, its listener gets just the parts that it requests. One read of the socket yields up
 * to 64 KB, and what was not requested waits here; the socket is not read while anything waits.
 */
final class ClientCall implements HttpCall {
    private HttpRequestMessage request;
    private final String correlationId;
    private final AnswerListener listener;
    private volatile ClientConnection connection;
    private volatile boolean finished;
    private final Deque<byte[]> unrequested = new ArrayDeque<>();
    private boolean throttled;
    private boolean delivering;
    private boolean received;
    private int requestedParts;

    ClientCall(HttpRequestMessage request, String correlationId, AnswerListener listener) {
        this.request = request;
        this.correlationId = correlationId;
        this.listener = listener;
    }

    @Override
    public void request() {
        ClientConnection c = connection;
        if (c != null) {
            c.onEventLoop(() -> {
                requestedParts++;
                deliver();
            });
        }
    }

    @Override
    public void throttle() {
        throttled = true;
    }

    @Override
    public void cancel() {
        finished = true;
        ClientConnection c = connection;
        if (c != null) {
            c.onEventLoop(() -> c.abandon(this));
        }
    }

    /** Returns the request, which is dropped once it is taken for writing. */
    HttpRequestMessage takeMessage() {
        HttpRequestMessage taken = request;
        request = null;
        return taken;
    }

    void written() {
        if (!finished) {
            listener.written();
        }
    }

    String correlationId() {
        return correlationId;
    }

    boolean finished() {
        return finished;
    }

    void bind(ClientConnection newConnection) {
        connection = newConnection;
    }

    boolean matches(int status, List<HeaderField> fields) {
        return finished || listener.matches(status, fields);
    }

    void unreachable() {
        if (!finished) {
            finished = true;
            listener.unreachable();
        }
    }

    void head(int status, List<HeaderField> fields) {
        if (!finished) {
            listener.head(status, fields);
        }
    }

    void data(byte[] bytes) {
        if (finished) {
            return;
        }
        if (throttled) {
            unrequested.add(bytes);
            deliver();
            return;
        }
        listener.data(bytes);
        if (throttled) {
            requestedParts--;
            deliver();
        }
    }

    /** Called when the whole answer was received, of which parts may still wait. */
    void end() {
        received = true;
        deliver();
    }

    /** Passes on the parts that are requested. A part that is passed on may request the next one. */
    private void deliver() {
        if (delivering) {
            return;
        }
        delivering = true;
        while (!finished && requestedParts > 0 && !unrequested.isEmpty()) {
            requestedParts--;
            listener.data(unrequested.remove());
        }
        delivering = false;
        if (finished) {
            unrequested.clear();
        } else if (received && unrequested.isEmpty()) {
            finished = true;
            listener.end();
        } else if (throttled && !received) {
            connection.setAutoRead(requestedParts > 0);
        }
    }

    void broken() {
        if (!finished) {
            finished = true;
            listener.broken();
        }
    }

    void closed() {
        if (!finished) {
            finished = true;
            listener.closed();
        }
    }
}
