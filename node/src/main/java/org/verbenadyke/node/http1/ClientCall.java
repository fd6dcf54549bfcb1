package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * One request sent through a pool and the state of its answer. Confined to its connection's event loop once the request
 * has a connection.
 */
final class ClientCall implements HttpCall {
    private final HttpRequestMessage request;
    private final String correlationId;
    private final AnswerListener listener;
    private volatile ClientConnection connection;
    private volatile boolean finished;
    private boolean throttled;
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
                if (!finished && throttled) {
                    c.setAutoRead(true);
                }
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

    HttpRequestMessage message() {
        return request;
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
        listener.data(bytes);
        if (throttled && --requestedParts <= 0) {
            connection.setAutoRead(false);
        }
    }

    void end() {
        if (!finished) {
            finished = true;
            listener.end();
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
