package org.verbenadyke.node.http1;

import java.util.List;
import java.util.function.IntConsumer;

import org.verbenadyke.kernel.call.HeaderField;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request on a server connection and its answer. State is confined to the connection's event loop.
 */
final class ServerExchange implements HttpExchange {
    private final ServerConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequestMessage request;
    private Runnable disconnectHandler = () -> {};
    private IntConsumer sentCallback = n -> {};
    private boolean done;
    private boolean closesConnection;

    ServerExchange(ServerConnection connection, HttpRequestMessage request) {
        this.connection = connection;
        this.context = connection.context();
        this.request = request;
    }

    @Override
    public HttpRequestMessage request() {
        return request;
    }

    @Override
    public void answer(int status, List<HeaderField> fields, byte[] body) {
        onEventLoop(() -> {
            if (done) {
                return;
            }
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.wrappedBuffer(body),
                    HttpFields.headers(fields),
                    EmptyHttpHeaders.INSTANCE);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            markConnectionClose(response.headers());
            context.write(response, context.voidPromise());
            complete();
        });
    }

    @Override
    public void head(int status, List<HeaderField> fields) {
        onEventLoop(() -> {
            if (done) {
                return;
            }
            DefaultHttpResponse response = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), HttpFields.headers(fields));
            if (!HttpUtil.isContentLengthSet(response)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            markConnectionClose(response.headers());
            context.write(response, context.voidPromise());
        });
    }

    @Override
    public void data(byte[] bytes) {
        onEventLoop(() -> {
            if (!done) {
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                        .addListener(f -> sentCallback.accept(bytes.length));
            }
        });
    }

    @Override
    public void end() {
        onEventLoop(() -> {
            if (!done) {
                context.write(LastHttpContent.EMPTY_LAST_CONTENT, context.voidPromise());
                complete();
            }
        });
    }

    @Override
    public void abort() {
        onEventLoop(() -> {
            if (!done) {
                done = true;
                closesConnection = true;
                connection.exchangeFinished(this);
                context.close();
            }
        });
    }

    @Override
    public void onCallerDisconnected(Runnable task) {
        disconnectHandler = task;
    }

    @Override
    public void onSent(IntConsumer callback) {
        sentCallback = callback;
    }

    /** Called when the connection was closed. */
    void callerDisconnected() {
        if (!done) {
            done = true;
            closesConnection = true;
            disconnectHandler.run();
        }
    }

    boolean closesConnection() {
        return closesConnection;
    }

    private void markConnectionClose(HttpHeaders headers) {
        closesConnection = connection.closesAfterAnswer();
        if (closesConnection) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private void complete() {
        done = true;
        if (closesConnection && !connection.discarding()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.flush();
        }
        connection.exchangeFinished(this);
    }

    private void onEventLoop(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }
}
