package org.verbenadyke.node.http1;

import java.io.ByteArrayOutputStream;
import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * The way to the upstream beside the node over a pool of connections. An answer of up to {@link #WHOLE_MOST} bytes is
 * passed on when it is whole, so that one that breaks off can still be tried again; a longer one is passed on as it
 * comes.
 */
public final class PooledUpstream implements UpstreamPort, AutoCloseable {
    /** The longest answer that is held until it is whole, in bytes: some tens of times a common record. */
    public static final int WHOLE_MOST = 64 * 1024;

    private final HttpPool pool;
    private final UpstreamDialect dialect;

    private PooledUpstream(HttpPool pool, UpstreamDialect dialect) {
        this.pool = pool;
        this.dialect = dialect;
    }

    /**
     * Creates the way to an upstream.
     *
     * @param pool the connections
     * @param dialect how the upstream is spoken to
     * @return the way
     */
    public static PooledUpstream over(HttpPool pool, UpstreamDialect dialect) {
        return new PooledUpstream(pool, dialect);
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Running running = new Running(handOver, listener);
        running.call = pool.send(dialect.request(handOver), dialect.correlationId(handOver), running);
        return running;
    }

    @Override
    public void close() {
        pool.close();
    }

    /**
     * One call at the upstream.
     */
    private final class Running implements Exchange, AnswerListener {
        private final HandOver handOver;
        private final Listener listener;
        private HttpCall call;
        private UpstreamDialect.AnswerKind verdict;
        private int status;
        private List<HeaderField> fields;
        private ByteArrayOutputStream whole = new ByteArrayOutputStream();

        private Running(HandOver handOver, Listener listener) {
            this.handOver = handOver;
            this.listener = listener;
        }

        @Override
        public void request() {
            if (whole == null) {
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
        public boolean matches(int newStatus, List<HeaderField> newFields) {
            return dialect.matches(handOver, newFields);
        }

        @Override
        public void head(int newStatus, List<HeaderField> newFields) {
            status = newStatus;
            fields = HttpFields.endToEnd(newFields);
            verdict = dialect.classify(newStatus, newFields);
        }

        @Override
        public void data(byte[] bytes) {
            if (verdict != UpstreamDialect.AnswerKind.ANSWER) {
                return;
            }
            if (whole == null) {
                listener.data(bytes);
                return;
            }
            whole.writeBytes(bytes);
            if (whole.size() > WHOLE_MOST) {
                byte[] begun = whole.toByteArray();
                whole = null;
                call.throttle();
                listener.head(status, fields);
                listener.data(begun);
            }
        }

        @Override
        public void end() {
            dialect.onCallEnded(handOver);
            if (verdict == UpstreamDialect.AnswerKind.NOT_RUN) {
                listener.notRun();
            } else if (verdict == UpstreamDialect.AnswerKind.UNUSABLE) {
                listener.broken();
            } else {
                ended();
            }
        }

        @Override
        public void broken() {
            dialect.onCallEnded(handOver);
            if (verdict == UpstreamDialect.AnswerKind.NOT_RUN) {
                listener.notRun();
                return;
            }
            listener.broken();
        }

        @Override
        public void closed() {
            if (verdict == UpstreamDialect.AnswerKind.NOT_RUN) {
                broken();
                return;
            }
            dialect.onCallEnded(handOver);
            pool.presence().explainBreak(listener);
        }

        private void ended() {
            if (whole != null) {
                listener.head(status, fields);
                if (whole.size() > 0) {
                    listener.data(whole.toByteArray());
                }
            }
            listener.end();
        }
    }
}
