package org.verbenadyke.node.http1;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.body.BodyReservation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection of a caller: collects each request, passes the request to the handler, and starts the next one when
 * the answer is complete. Data that arrives meanwhile is queued; reading goes on, so that a disconnect of the caller is
 * noticed at once. While there is no memory for a body, reading stops, so that flow control slows the caller down. The
 * rest of a body that was refused is read and discarded: closing the connection instead could lose the answer.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");

    /** The number of queued parts of later requests beyond which reading stops. */
    private static final int MAX_PENDING_MESSAGES = 16;

    private static final byte[] EMPTY_BODY = {};

    private final HttpServer server;
    private final ServerLimits limits;
    private final Deque<HttpObject> pendingMessages = new ArrayDeque<>();
    private final StallDetector stall = new StallDetector();
    private final WriteBacklog backlog;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private BodyReservation memory = BodyReservation.none();
    private MemoryWait memoryWait;
    private boolean bodyUncounted;
    private boolean continueExpected;
    private boolean discarding;
    private boolean closeAfterDiscard;
    private ServerExchange exchange;
    private volatile long idleSince;
    private volatile boolean busy;
    private boolean closeRequested;

    ServerConnection(HttpServer server, ServerLimits limits) {
        this.server = server;
        this.limits = limits;
        this.backlog = WriteBacklog.of(limits.idleNanos());
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        idleSince = server.timers().nanos();
        server.opened(this);
        if (server.closing()) {
            context.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (exchange != null || memoryWait != null) {
            pendingMessages.add((HttpObject) message);
            if (pendingMessages.size() > MAX_PENDING_MESSAGES) {
                setAutoRead(false);
            }
            return;
        }
        process((HttpObject) message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        server.ended(this);
        dropPendingMessages();
        memoryWait = null;
        stall.end();
        dropBody();
        if (exchange != null) {
            exchange.callerDisconnected();
        }
        memory.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        LOG.debug("A caller's connection failed: {}.", cause.getMessage());
        context.close();
    }

    void close() {
        if (context != null) {
            context.close();
        }
    }

    void closeIfIdle(long now) {
        boolean expired = server.closing() || now - idleSince > limits.idleNanos();
        if (!busy && expired) {
            context.executor().execute(() -> closeUnlessBusy(now));
        }
        if (stall.stalled(now)) {
            context.executor().execute(this::endStalledBody);
        }
    }

    private void closeUnlessBusy(long now) {
        if (!busy && backlog.waitsForReader(context.channel(), now)) {
            idleSince = now;
        } else if (!busy) {
            context.close();
        }
    }

    ChannelHandlerContext context() {
        return context;
    }

    /** Returns whether the connection closes after the current answer. */
    boolean closesAfterAnswer() {
        return closeRequested || server.closing();
    }

    void exchangeFinished(ServerExchange done) {
        if (exchange != done) {
            return;
        }
        exchange = null;
        memory.release();
        if (discarding) {
            closeAfterDiscard = done.closesConnection();
        } else {
            becomeIdle();
            if (done.closesConnection()) {
                return;
            }
        }
        resume();
    }

    /** Returns whether the rest of a refused body is still to be read. */
    boolean discarding() {
        return discarding;
    }

    private void resume() {
        while (exchange == null && memoryWait == null && !pendingMessages.isEmpty()) {
            process(pendingMessages.poll());
        }
        if (memoryWait == null && pendingMessages.size() <= MAX_PENDING_MESSAGES) {
            setAutoRead(true);
        }
    }

    private void becomeIdle() {
        busy = false;
        idleSince = server.timers().nanos();
    }

    private void process(HttpObject message) {
        try {
            if (discarding) {
                discard(message);
                return;
            }
            if (message.decoderResult().isFailure()) {
                reject(Rejections.statusOf(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest r) {
                beginRequest(r);
            }
            if (message instanceof HttpContent c && head != null) {
                appendBody(c);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void beginRequest(HttpRequest request) {
        busy = true;
        head = request;
        closeRequested = !HttpUtil.isKeepAlive(request);
        body = Unpooled.EMPTY_BUFFER;
        memory = BodyReservation.none();
        bodyUncounted = false;
        continueExpected = HttpUtil.is100ContinueExpected(request);
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > limits.bodyBytes()) {
            rejectBody();
            return;
        }
        if (needsMemory(length)) {
            reserve(length);
        }
        if (memoryWait == null) {
            sendExpectedContinue();
        }
    }

    private void sendExpectedContinue() {
        if (continueExpected) {
            continueExpected = false;
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Returns whether a body of a size has to wait for memory. The handler is asked once for each request. */
    private boolean needsMemory(long bytes) {
        if (bodyUncounted || !server.bodies().counts(bytes)) {
            return false;
        }
        bodyUncounted = !server.handler().countsBody(HttpRequestMessage.of(head, EMPTY_BODY));
        return !bodyUncounted;
    }

    /** Reserves memory for the body, and stops reading if it has to wait. */
    private void reserve(long bytes) {
        MemoryWait wait = new MemoryWait();
        memory = server.bodies().reserve(bytes, wait);
        if (memory.granted()) {
            beginHolding();
        } else {
            memoryWait = wait;
            setAutoRead(false);
        }
    }

    private void beginHolding() {
        stall.begin(server.timers().nanos());
        if (body == Unpooled.EMPTY_BUFFER && HttpUtil.isContentLengthSet(head)) {
            body = Unpooled.buffer((int) memory.bytes());
        }
    }

    private void memoryGranted(MemoryWait wait) {
        if (memoryWait == wait) {
            memoryWait = null;
            beginHolding();
            sendExpectedContinue();
            resume();
        }
    }

    private void memoryRefused(MemoryWait wait) {
        if (memoryWait != wait) {
            return;
        }
        memoryWait = null;
        // A caller that still waits for the interim response sends its body or not: only a new connection is safe.
        closeRequested |= continueExpected;
        discarding = !continueExpected;
        if (discarding) {
            stall.begin(server.timers().nanos());
        }
        dropBody();
        exchange = new ServerExchange(this, takeRequest(EMPTY_BODY));
        server.handler().refuseBody(exchange);
    }

    private void discard(HttpObject message) {
        stall.partArrived(server.timers().nanos());
        if (message.decoderResult().isFailure()) {
            context.close();
        } else if (message instanceof LastHttpContent) {
            discarding = false;
            stall.end();
            becomeIdle();
            if (closeAfterDiscard) {
                dropPendingMessages();
                context.close();
            }
        }
    }

    /** Ends a request whose body stopped arriving, so that a stalled caller does not hold memory. */
    private void endStalledBody() {
        if (!stall.stalled(server.timers().nanos())) {
            return;
        }
        if (discarding) {
            context.close();
            return;
        }
        stall.end();
        closeRequested = true;
        dropBody();
        memory.release();
        exchange = new ServerExchange(this, takeRequest(EMPTY_BODY));
        server.handler().refuseStalledBody(exchange);
    }

    private void appendBody(HttpContent content) {
        int more = content.content().readableBytes();
        if (body.readableBytes() + more > limits.bodyBytes()) {
            rejectBody();
            discard(content);
            return;
        }
        if (!stall.watching() && needsMemory(body.readableBytes() + more)) {
            // The length is not known in advance.
            reserve(limits.bodyBytes());
            if (memoryWait != null) {
                pendingMessages.addFirst(ReferenceCountUtil.retain(content));
                return;
            }
        }
        if (more > 0) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(more);
            }
            body.writeBytes(content.content());
            stall.partArrived(server.timers().nanos());
        }
        if (content instanceof LastHttpContent) {
            dispatchRequest();
        }
    }

    private void dispatchRequest() {
        stall.end();
        byte[] bytes = RequestBody.bytes(body);
        dropBody();
        memory.shrinkTo(bytes.length);
        exchange = new ServerExchange(this, takeRequest(bytes));
        server.handler().handle(exchange);
    }

    private HttpRequestMessage takeRequest(byte[] bytes) {
        HttpRequestMessage request = HttpRequestMessage.of(head, bytes);
        head = null;
        return request;
    }

    private void dropBody() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    private void dropPendingMessages() {
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
    }

    private void setAutoRead(boolean autoRead) {
        context.channel().config().setAutoRead(autoRead);
    }

    /** Rejects a body that is too large, and reads its rest for a while: an earlier close would reset the answer. */
    private void rejectBody() {
        discarding = true;
        closeAfterDiscard = true;
        server.timers().after(StallDetector.MAX_PAUSE_NANOS, this::close);
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }

    private void reject(HttpResponseStatus status) {
        head = null;
        stall.end();
        dropBody();
        memory.release();
        ChannelFuture answer = context.writeAndFlush(Rejections.response(status));
        if (!discarding) {
            answer.addListener(f -> context.close());
        }
        server.reportFault("Request from {} rejected: {}.", context.channel().remoteAddress(), status);
    }

    /** The wait of one request for memory. The memory may be granted or refused on any thread. */
    private final class MemoryWait implements BodyMemory.Listener {
        @Override
        public void granted() {
            context.executor().execute(() -> memoryGranted(this));
        }

        @Override
        public void refused() {
            context.executor().execute(() -> memoryRefused(this));
        }
    }
}
