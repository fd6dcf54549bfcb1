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

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * One connection of a pool. Bytes that come while no request is under way belong to nobody and end the connection, also
 * those that come with the end of an answer; an answer that its request does not recognise is skipped.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LogManager.getLogger("http");
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final long SECOND = 1_000_000_000L;

    /** The part of the server's idle time after which a connection is not used again, to stay clear of its close. */
    private static final double IDLE_SHARE = 0.7;

    /** Names that are remembered; a connection carries a handful in the time in which a request may come again. */
    private static final int NAMES_MOST = 16;

    private final HttpPool pool;
    private final Deque<String> names = new ConcurrentLinkedDeque<>();
    private ChannelHandlerContext context;
    private ClientCall call;
    private ClientCall answered;
    private boolean failed;
    private boolean skipping;
    private boolean started;
    private boolean reusable;
    private long idleNanos;
    private volatile long idleSince;
    private volatile boolean closed;

    ClientConnection(HttpPool pool, ClientCall first) {
        this.pool = pool;
        this.call = first;
        this.idleNanos = pool.settings().idleNanos();
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        pool.opened(this);
        ClientCall first = call;
        if (first.over()) {
            call = null;
            idleSince = pool.timers().nanos();
            pool.release(this);
            return;
        }
        send(first);
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        try {
            take((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        settle();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closed = true;
        pool.ended(this);
        settle();
        if (call != null) {
            finish().closed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        LOG.debug("Connection to {} failed: {}.", pool.server(), cause.getMessage());
        failed = true;
        context.close();
    }

    /** Starts a request on an idle connection, from any thread. */
    void start(ClientCall next) {
        onThread(() -> {
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
     * Tells whether a request of this name was sent here lately. The answer to it may be given a second time, which
     * would be taken for the answer to the next of the name: a filing that ran was told as not run.
     */
    boolean carried(String name) {
        return !name.isEmpty() && names.contains(name);
    }

    void abandon(ClientCall given) {
        if (call == given) {
            call = null;
            close();
        }
    }

    void reading(boolean on) {
        context.channel().config().setAutoRead(on);
    }

    void close() {
        closed = true;
        context.close();
    }

    void onThread(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }

    private void send(ClientCall next) {
        skipping = false;
        started = false;
        next.bind(this);
        remember(next.name());
        HttpRequestMessage m = next.message();
        HttpHeaders headers = HttpFields.headers(m.fields());
        if (m.body().length > 0 || !m.method().equals("GET")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, m.body().length);
        }
        context.writeAndFlush(new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(m.method()),
                m.target(),
                Unpooled.wrappedBuffer(m.body()),
                headers,
                EmptyHttpHeaders.INSTANCE));
    }

    private void remember(String name) {
        if (name.isEmpty()) {
            return;
        }
        if (names.size() >= NAMES_MOST) {
            names.removeFirst();
        }
        names.addLast(name);
    }

    private void take(HttpObject message) {
        if (answered != null) {
            reusable = false;
            return;
        }
        if (call == null) {
            close();
            return;
        }
        if (failed || message.decoderResult().isFailure()) {
            breakOff();
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
        started = true;
        reusable = HttpUtil.isKeepAlive(response);
        HttpFields.find(fields, HttpFields.KEEP_ALIVE)
                .flatMap(ClientConnection::timeout)
                .ifPresent(t -> idleNanos = t);
        call.head(status, fields);
    }

    private void content(HttpContent content) {
        boolean ends = content instanceof LastHttpContent;
        if (skipping || !started) {
            skipping = skipping && !ends;
            return;
        }
        int length = content.content().readableBytes();
        if (length > 0) {
            byte[] bytes = new byte[length];
            content.content().readBytes(bytes);
            call.data(bytes);
        }
        if (ends && call != null) {
            answered = finish();
        }
    }

    /** Ends an answered request, once all that came with the answer has been seen. */
    private void settle() {
        if (answered == null) {
            return;
        }
        ClientCall done = answered;
        answered = null;
        reading(true);
        if (reusable && !closed && context.channel().isActive()) {
            idleSince = pool.timers().nanos();
            pool.release(this);
        } else {
            close();
        }
        done.end();
    }

    private void breakOff() {
        ClientCall given = finish();
        close();
        given.broken();
    }

    private ClientCall finish() {
        ClientCall done = call;
        call = null;
        return done;
    }

    private static Optional<Long> timeout(String keepAlive) {
        Matcher m = TIMEOUT.matcher(keepAlive);
        return m.find() ? Optional.of((long) (Long.parseLong(m.group(1)) * SECOND * IDLE_SHARE)) : Optional.empty();
    }
}
