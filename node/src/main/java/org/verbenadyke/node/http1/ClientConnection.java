package org.verbenadyke.node.http1;

import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.time.Subscription;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection of a pool. Bytes that arrive while no request is in flight, or together with the end of an answer,
 * belong to no request and close the connection, even if they are no whole message; an answer that doesn't match its
 * request is skipped.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The share of the server's idle timeout after which a connection isn't reused, so as not to race its close. */
    private static final double IDLE_SHARE = 0.7;

    /**
     * The number of correlation ids that are retained; a connection carries a handful in the time in which a request
     * may be repeated.
     */
    private static final int MAX_RECENT_IDS = 16;

    /** The maximum size of an answer's head in bytes. */
    private static final int MAX_HEAD_BYTES = 32 * 1024;

    private final HttpPool pool;
    private final AnswerDecoder decoder = AnswerDecoder.limitedTo(MAX_HEAD_BYTES);
    private final PartCollector parts = new PartCollector();
    private final ReadPace pace;
    /** The correlation ids of recent requests. */
    private final Deque<String> recentIds = new ConcurrentLinkedDeque<>();

    private ChannelHandlerContext context;
    private ClientCall call;
    private ClientCall answeredCall;
    private boolean skipping;
    private boolean headReceived;
    private boolean reusable;
    private boolean written;
    private Subscription writeTimeout;
    private long idleNanos;
    private volatile long idleSince;
    private volatile boolean closed;

    ClientConnection(HttpPool pool, ClientCall first) {
        this.pool = pool;
        this.call = first;
        this.idleNanos = pool.settings().idleNanos();
        this.pace = pool.newReadPace();
    }

    /** Returns the decoder, which comes before this handler in the pipeline. */
    AnswerDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        pool.opened(this);
        ClientCall first = call;
        if (first.finished()) {
            call = null;
            idleSince = pool.timers().nanos();
            pool.release(this);
            return;
        }
        send(first);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        pace.partDecoded(context.channel());
        try {
            process((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        deliverParts();
        completeAnsweredCall();
        pace.readComplete(context.channel());
        if (call == null && !closed && !decoder.readyForNextAnswer()) {
            closeUnrequested();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closed = true;
        pool.ended(this);
        completeAnsweredCall();
        if (call != null) {
            detachCall().closed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        LOG.debug("Connection to {} failed: {}.", pool.server(), cause.getMessage());
        context.close();
    }

    /** Starts a request on an idle connection, from any thread. */
    void start(ClientCall next) {
        onEventLoop(() -> {
            if (closed || !context.channel().isActive()) {
                next.unreachable();
                return;
            }
            call = next;
            send(next);
        });
    }

    boolean usable(long now) {
        return !closed && context.channel().isActive() && now - idleSince < idleNanos;
    }

    /**
     * Returns whether a request with this correlation id was recently sent on this connection. Its answer may arrive a
     * second time and would then be matched to the next request with the same id: a request that ran would be reported
     * as not run.
     */
    boolean hasCarried(String correlationId) {
        return !correlationId.isEmpty() && recentIds.contains(correlationId);
    }

    void abandon(ClientCall cancelled) {
        if (call == cancelled) {
            call = null;
            close();
        }
    }

    void setAutoRead(boolean autoRead) {
        pace.setWanted(context.channel(), autoRead);
    }

    void close() {
        closed = true;
        context.close();
    }

    void onEventLoop(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }

    private void send(ClientCall next) {
        skipping = false;
        headReceived = false;
        written = false;
        parts.clear();
        next.bind(this);
        recordId(next.correlationId());
        HttpRequestMessage m = next.takeMessage();
        HttpMethod method = HttpMethod.valueOf(m.method());
        decoder.expectAnswerTo(method);
        HttpHeaders headers = HttpFields.headers(m.fields());
        if (m.body().length > 0 || !m.method().equals("GET")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, m.body().length);
        }
        context.writeAndFlush(new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        m.target(),
                        Unpooled.wrappedBuffer(m.body()),
                        headers,
                        EmptyHttpHeaders.INSTANCE))
                .addListener(f -> requestWritten(next, Optional.ofNullable(f.cause())));
    }

    private void requestWritten(ClientCall sent, Optional<Throwable> failure) {
        written = failure.isEmpty();
        if (written) {
            sent.written();
        }
        failure.ifPresent(cause -> writeFailed(sent, cause));
        if (writeTimeout != null) {
            writeTimeout.cancel();
            writeTimeout = null;
            pool.endHoldUnread();
            releaseToPool();
        }
    }

    /**
     * Ends the call whose request could not be written. A call whose connection has closed is ended by that instead,
     * since the reason for the close tells what became of the call.
     */
    private void writeFailed(ClientCall sent, Throwable cause) {
        if (closed) {
            return;
        }
        pool.reportFault("A request to {} could not be written: {}.", pool.server(), cause.toString());
        if (!context.channel().isActive()) {
            return;
        }
        if (call == sent) {
            failCall();
        } else {
            close();
        }
    }

    /** Lets the pool reuse the connection, unless it is closed. */
    private void releaseToPool() {
        if (!written || closed || !context.channel().isActive()) {
            close();
            return;
        }
        idleSince = pool.timers().nanos();
        pool.release(this);
    }

    /**
     * Lets the pool reuse the connection once the rest of a request is written that was answered before the server had
     * read it. A server that doesn't read the rest for as long as the pool keeps an idle connection is disconnected; a
     * longer idle time that the server names would hold the memory for as long. Beyond the number of connections that
     * may hold such a rest, the connection is closed at once.
     */
    private void releaseOnceWritten() {
        if (!pool.tryHoldUnread()) {
            pool.reportFault("Too many requests that {} answered are not read to their end.", pool.server());
            close();
            return;
        }
        writeTimeout = pool.timers()
                .after(
                        Math.min(idleNanos, pool.settings().idleNanos()),
                        () -> onEventLoop(() -> {
                            if (!written) {
                                pool.reportFault(
                                        "{} has not read the rest of a request that it answered.", pool.server());
                                close();
                            }
                        }));
    }

    private void recordId(String correlationId) {
        if (correlationId.isEmpty()) {
            return;
        }
        if (recentIds.size() >= MAX_RECENT_IDS) {
            recentIds.removeFirst();
        }
        recentIds.addLast(correlationId);
    }

    private void process(HttpObject message) {
        if (answeredCall != null) {
            reusable = false;
            return;
        }
        if (call == null) {
            closeUnrequested();
            return;
        }
        if (message.decoderResult().isFailure()) {
            pool.reportFault(
                    "An answer of {} could not be decoded: {}.",
                    pool.server(),
                    message.decoderResult().cause().getMessage());
            failCall();
            return;
        }
        if (message instanceof HttpResponse r) {
            head(r);
        }
        if (call != null && message instanceof HttpContent c) {
            content(c);
        }
    }

    private void head(HttpResponse response) {
        List<HeaderField> fields = HttpFields.of(response.headers());
        int status = response.status().code();
        skipping = response.status().codeClass() == HttpStatusClass.INFORMATIONAL || !call.matches(status, fields);
        if (skipping) {
            return;
        }
        headReceived = true;
        decoder.answerBegun();
        reusable = HttpUtil.isKeepAlive(response);
        HttpFields.find(fields, HttpFields.KEEP_ALIVE)
                .flatMap(ClientConnection::timeout)
                .ifPresent(t -> idleNanos = t);
        call.head(status, fields);
    }

    private void content(HttpContent content) {
        boolean ends = content instanceof LastHttpContent;
        if (skipping || !headReceived) {
            skipping = skipping && !ends;
            return;
        }
        parts.add(content.content());
        if (ends || parts.full()) {
            deliverParts();
        }
        if (ends && call != null) {
            answeredCall = detachCall();
        }
    }

    private void deliverParts() {
        if (call != null) {
            parts.take().ifPresent(call::data);
        }
    }

    /** Completes an answered request, once all data that arrived with the answer has been processed. */
    private void completeAnsweredCall() {
        if (answeredCall == null) {
            return;
        }
        ClientCall done = answeredCall;
        answeredCall = null;
        setAutoRead(true);
        if (!reusable || !decoder.readyForNextAnswer()) {
            close();
        } else if (written) {
            releaseToPool();
        } else {
            releaseOnceWritten();
        }
        done.end();
    }

    private void closeUnrequested() {
        pool.reportFault("{} sent bytes that belong to no request.", pool.server());
        close();
    }

    private void failCall() {
        ClientCall failedCall = detachCall();
        close();
        failedCall.broken();
    }

    private ClientCall detachCall() {
        ClientCall done = call;
        call = null;
        return done;
    }

    private static Optional<Long> timeout(String keepAlive) {
        Matcher m = TIMEOUT.matcher(keepAlive);
        return m.find()
                ? Optional.of((long) (Long.parseLong(m.group(1)) * NANOS_PER_SECOND * IDLE_SHARE))
                : Optional.empty();
    }
}
