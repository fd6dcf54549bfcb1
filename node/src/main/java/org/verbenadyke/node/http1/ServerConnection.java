package org.verbenadyke.node.http1;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection of a caller: collects each request, passes the request to the handler, and starts the next one when
 * the answer is complete. Data that arrives meanwhile is queued; reading goes on, so that a disconnect of the caller is
 * noticed at once.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");

    /** The number of queued parts of later requests beyond which reading stops. */
    private static final int MAX_PENDING_MESSAGES = 16;

    private final HttpServer server;
    private final ServerLimits limits;
    private final Deque<HttpObject> pendingMessages = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private ServerExchange exchange;
    private volatile long idleSince;
    private volatile boolean busy;
    private boolean closeRequested;

    ServerConnection(HttpServer server, ServerLimits limits) {
        this.server = server;
        this.limits = limits;
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
        if (exchange != null) {
            pendingMessages.add((HttpObject) message);
            if (pendingMessages.size() > MAX_PENDING_MESSAGES) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        process((HttpObject) message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        server.ended(this);
        pendingMessages.forEach(ReferenceCountUtil::release);
        pendingMessages.clear();
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        if (exchange != null) {
            exchange.callerDisconnected();
        }
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
            context.executor().execute(() -> {
                if (!busy) {
                    context.close();
                }
            });
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
        busy = false;
        idleSince = server.timers().nanos();
        if (done.closesConnection()) {
            return;
        }
        while (exchange == null && !pendingMessages.isEmpty()) {
            process(pendingMessages.poll());
        }
        if (pendingMessages.size() <= MAX_PENDING_MESSAGES) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void process(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                reject(statusOf(message.decoderResult().cause()));
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
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(HttpContent content) {
        int more = content.content().readableBytes();
        if (body.readableBytes() + more > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (more > 0) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(more);
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            dispatchRequest();
        }
    }

    private void dispatchRequest() {
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        HttpRequestMessage request =
                new HttpRequestMessage(head.method().name(), head.uri(), HttpFields.of(head.headers()), bytes);
        head = null;
        exchange = new ServerExchange(this, request);
        server.handler().handle(exchange);
    }

    private void reject(HttpResponseStatus status) {
        head = null;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(f -> context.close());
        LOG.info("Request from {} rejected: {}.", context.channel().remoteAddress(), List.of(status));
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }
}
