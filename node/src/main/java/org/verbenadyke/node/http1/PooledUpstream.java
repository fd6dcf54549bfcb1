package org.verbenadyke.node.http1;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * Sends calls to the upstream that the node is colocated with, over a pool of connections. An answer of up to
 * {@link #MAX_BUFFERED_BYTES} bytes is buffered and forwarded once it is complete, so that a call whose answer is cut
 * short can still be retried; a longer answer is streamed.
 */
public final class PooledUpstream implements UpstreamPort, AutoCloseable {
    /** The longest answer that is buffered until it is complete, in bytes: some tens of times a common record. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private final HttpPool pool;
    private final UpstreamDialect dialect;

    private PooledUpstream(HttpPool pool, UpstreamDialect dialect) {
        this.pool = pool;
        this.dialect = dialect;
    }

    /**
     * Creates the port to an upstream.
     *
     * @param pool the connections to the upstream
     * @param dialect maps calls to HTTP requests and answers to outcomes
     * @return the port
     */
    public static PooledUpstream over(HttpPool pool, UpstreamDialect dialect) {
        return new PooledUpstream(pool, dialect);
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        PooledExchange exchange = new PooledExchange(handOver, listener);
        exchange.call = pool.send(dialect.request(handOver), dialect.correlationId(handOver), exchange);
        return exchange;
    }

    @Override
    public void close() {
        pool.close();
    }

    /**
     * One call to the upstream and its answer.
     */
    private final class PooledExchange implements Exchange, AnswerListener {
        private final HandOver handOver;
        private final Listener listener;
        private HttpCall call;
        private UpstreamDialect.AnswerKind answerKind;
        private int status;
        private List<HeaderField> fields;
        private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private int ignoredBytes;

        private PooledExchange(HandOver handOver, Listener listener) {
            this.handOver = handOver.withoutBody();
            this.listener = listener;
        }

        @Override
        public void request() {
            if (buffer == null) {
                call.request();
            }
        }

        @Override
        public void cancel() {
            dialect.onCallEnded(handOver);
            if (call != null) {
                call.cancel();
            }
        }

        @Override
        public void unreachable() {
            dialect.onCallEnded(handOver);
            listener.unreachable();
        }

        @Override
        public void written() {
            listener.written();
        }

        @Override
        public boolean matches(int newStatus, List<HeaderField> newFields) {
            return dialect.matches(handOver, newFields);
        }

        @Override
        public void head(int newStatus, List<HeaderField> newFields) {
            status = newStatus;
            fields = HttpFields.endToEnd(newFields);
            answerKind = dialect.classify(newStatus, newFields);
            UpstreamNotice notice = dialect.notice(newFields);
            // An unusable answer may be one to an earlier request, so that its silence says nothing.
            if (answerKind != UpstreamDialect.AnswerKind.UNUSABLE || !notice.isEmpty()) {
                listener.notice(notice);
            }
        }

        @Override
        public void data(byte[] bytes) {
            if (answerKind != UpstreamDialect.AnswerKind.ANSWER) {
                ignore(bytes.length);
                return;
            }
            if (buffer == null) {
                listener.data(bytes);
                return;
            }
            buffer.writeBytes(bytes);
            if (buffer.size() > MAX_BUFFERED_BYTES) {
                byte[] prefix = buffer.toByteArray();
                buffer = null;
                call.throttle();
                listener.head(status, fields);
                listener.data(prefix);
            }
        }

        @Override
        public void end() {
            dialect.onCallEnded(handOver);
            if (answerKind == UpstreamDialect.AnswerKind.NOT_RUN) {
                listener.notRun();
            } else if (answerKind == UpstreamDialect.AnswerKind.UNUSABLE) {
                listener.broken();
            } else {
                deliverAnswer();
            }
        }

        @Override
        public void broken() {
            dialect.onCallEnded(handOver);
            if (answerKind == UpstreamDialect.AnswerKind.NOT_RUN) {
                listener.notRun();
                return;
            }
            listener.broken();
        }

        @Override
        public void closed() {
            if (answerKind == UpstreamDialect.AnswerKind.NOT_RUN) {
                broken();
                return;
            }
            dialect.onCallEnded(handOver);
            pool.probe().reportBreakCause(listener);
        }

        /** Reads the body of a refusal, so that the connection can be reused, unless the body is too long. */
        private void ignore(int bytes) {
            ignoredBytes += bytes;
            if (ignoredBytes > MAX_BUFFERED_BYTES) {
                call.cancel();
                broken();
            }
        }

        private void deliverAnswer() {
            if (buffer != null) {
                listener.head(status, fields);
                if (buffer.size() > 0) {
                    listener.data(buffer.toByteArray());
                }
            }
            listener.end();
        }
    }
}
