package org.verbenadyke.node.http;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.node.http1.StatusLineValidator;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * Closes a connection whose answer begins with anything but a status line. The HTTP library skips control characters
 * and line breaks before it. A connection carries one request at a time.
 */
public final class StatusLineHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");

    private final StatusLineValidator statusLine = new StatusLineValidator();
    private volatile boolean answerDue;

    private StatusLineHandler() {}

    /**
     * Adds the handler to a connection, and tells it of each request.
     *
     * @param connection the connection
     * @return the same connection with the handler
     */
    public static StreamingHttpConnectionFilter watch(FilterableStreamingHttpConnection connection) {
        StatusLineHandler handler = new StatusLineHandler();
        if (connection.connectionContext() instanceof NettyConnectionContext context) {
            context.nettyChannel().pipeline().addFirst(handler);
        }
        return new StreamingHttpConnectionFilter(connection) {
            @Override
            public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                return Single.defer(() -> {
                    handler.answerDue = true;
                    return delegate().request(request).shareContextOnSubscribe();
                });
            }
        };
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !beginsValid(bytes)) {
            ReferenceCountUtil.release(message);
            LOG.info(
                    "{} sent an answer without a status line of HTTP/1.",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        context.fireChannelRead(message);
    }

    private boolean beginsValid(ByteBuf bytes) {
        if (answerDue) {
            answerDue = false;
            statusLine.reset();
        }
        if (!statusLine.complete()) {
            bytes.forEachByte(statusLine);
        }
        return statusLine.valid();
    }
}
