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
 * One request of a connection and its answer. Its state belongs to the connection's thread.
 */
final class ServerExchange implements HttpExchange {
    private final ServerConnection connection;
    private final ChannelHandlerContext context;
    private final HttpRequestMessage request;
    private Runnable gone = () -> {};
    private IntConsumer sent = n -> {};
    private boolean done;
    private boolean last;

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
        onThread(() -> {
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
            markLast(response.headers());
            context.write(response, context.voidPromise());
            complete();
        });
    }

    @Override
    public void head(int status, List<HeaderField> fields) {
        onThread(() -> {
            if (done) {
                return;
            }
            DefaultHttpResponse response = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), HttpFields.headers(fields));
            if (!HttpUtil.isContentLengthSet(response)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            markLast(response.headers());
            context.write(response, context.voidPromise());
        });
    }

    @Override
    public void data(byte[] bytes) {
        onThread(() -> {
            if (!done) {
                context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                        .addListener(f -> sent.accept(bytes.length));
            }
        });
    }

    @Override
    public void end() {
        onThread(() -> {
            if (!done) {
                context.write(LastHttpContent.EMPTY_LAST_CONTENT, context.voidPromise());
                complete();
            }
        });
    }

    @Override
    public void abort() {
        onThread(() -> {
            if (!done) {
                done = true;
                last = true;
                connection.finished(this);
                context.close();
            }
        });
    }

    @Override
    public void onCallerDisconnected(Runnable task) {
        gone = task;
    }

    @Override
    public void onSent(IntConsumer taker) {
        sent = taker;
    }

    /** Takes notice that the connection ended. */
    void callerGone() {
        if (!done) {
            done = true;
            last = true;
            gone.run();
        }
    }

    boolean lastOfConnection() {
        return last;
    }

    private void markLast(HttpHeaders headers) {
        last = connection.endsAfter();
        if (last) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
    }

    private void complete() {
        done = true;
        if (last) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.flush();
        }
        connection.finished(this);
    }

    private void onThread(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }
}
