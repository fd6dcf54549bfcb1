package org.verbenadyke.node.http1;

import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;

/**
 * One request of a pool and the state of its answer. Belongs to its connection's thread once it has one.
 */
final class ClientCall implements HttpCall {
    private final HttpRequestMessage request;
    private final String name;
    private final AnswerListener listener;
    private volatile ClientConnection connection;
    private volatile boolean over;
    private boolean throttled;
    private int wanted;

    ClientCall(HttpRequestMessage request, String name, AnswerListener listener) {
        this.request = request;
        this.name = name;
        this.listener = listener;
    }

    @Override
    public void request() {
        ClientConnection c = connection;
        if (c != null) {
            c.onThread(() -> {
                wanted++;
                if (!over && throttled) {
                    c.reading(true);
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
        over = true;
        ClientConnection c = connection;
        if (c != null) {
            c.onThread(() -> c.abandon(this));
        }
    }

    HttpRequestMessage message() {
        return request;
    }

    String name() {
        return name;
    }

    boolean over() {
        return over;
    }

    void bind(ClientConnection newConnection) {
        connection = newConnection;
    }

    boolean matches(int status, List<HeaderField> fields) {
        return over || listener.matches(status, fields);
    }

    void unreachable() {
        if (!over) {
            over = true;
            listener.unreachable();
        }
    }

    void head(int status, List<HeaderField> fields) {
        if (!over) {
            listener.head(status, fields);
        }
    }

    void data(byte[] bytes) {
        if (over) {
            return;
        }
        listener.data(bytes);
        if (throttled && --wanted <= 0) {
            connection.reading(false);
        }
    }

    void end() {
        if (!over) {
            over = true;
            listener.end();
        }
    }

    void broken() {
        if (!over) {
            over = true;
            listener.broken();
        }
    }

    void closed() {
        if (!over) {
            over = true;
            listener.closed();
        }
    }
}
