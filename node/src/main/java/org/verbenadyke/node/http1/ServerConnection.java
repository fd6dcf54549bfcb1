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
 * One connection of a caller: collects each request, hands it over, and takes the next when the answer is complete.
 * What arrives meanwhile waits; the socket is read on, so that the caller's leaving is noticed at once.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");

    /** Parts of later requests that are held before reading stops. */
    private static final int HELD_MOST = 16;

    private final HttpServer server;
    private final ServerLimits limits;
    private final Deque<HttpObject> held = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private ServerExchange exchange;
    private volatile long quietSince;
    private volatile boolean busy;
    private boolean ending;

    ServerConnection(HttpServer server, ServerLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        quietSince = server.timers().nanos();
        server.opened(this);
        if (server.closing()) {
            context.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (exchange != null) {
            held.add((HttpObject) message);
            if (held.size() > HELD_MOST) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        take((HttpObject) message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        server.ended(this);
        held.forEach(ReferenceCountUtil::release);
        held.clear();
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        if (exchange != null) {
            exchange.callerGone();
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
        boolean over = server.closing() || now - quietSince > limits.idleNanos();
        if (!busy && over) {
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

    /** Tells whether the connection ends after the answer under way. */
    boolean endsAfter() {
        return ending || server.closing();
    }

    void finished(ServerExchange done) {
        if (exchange != done) {
            return;
        }
        exchange = null;
        busy = false;
        quietSince = server.timers().nanos();
        if (done.lastOfConnection()) {
            return;
        }
        while (exchange == null && !held.isEmpty()) {
            take(held.poll());
        }
        if (held.size() <= HELD_MOST) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void take(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                reject(statusOf(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest r) {
                begin(r);
            }
            if (message instanceof HttpContent c && head != null) {
                collect(c);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        busy = true;
        head = request;
        ending = !HttpUtil.isKeepAlive(request);
        body = Unpooled.EMPTY_BUFFER;
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void collect(HttpContent content) {
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
            handOver();
        }
    }

    private void handOver() {
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
