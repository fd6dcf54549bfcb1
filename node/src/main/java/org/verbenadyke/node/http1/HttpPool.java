package org.verbenadyke.node.http1;

import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.node.transport.ServerPresence;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Connections to one server, one request at a time on each. The connection used last is used first, so that as few as
 * the load needs stay open. A request is sent once and never again by itself.
 */
public final class HttpPool implements AutoCloseable {
    private static final int HEADER_BYTES = 32 * 1024;

    private final Endpoint server;
    private final EventLoops loops;
    private final TimerService timers;
    private final PoolSettings settings;
    private final Deque<ClientConnection> idle = new ConcurrentLinkedDeque<>();
    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private final ServerPresence presence;
    private volatile Runnable absent = () -> {};
    private volatile boolean closed;

    private HttpPool(Endpoint server, EventLoops loops, TimerService timers, PoolSettings settings) {
        this.server = server;
        this.loops = loops;
        this.timers = timers;
        this.settings = settings;
        this.presence = ServerPresence.of(server, loops, () -> absent.run());
    }

    /**
     * Creates a pool without connections.
     *
     * @param server where the server listens
     * @param loops the threads that serve connections
     * @param timers the time
     * @param settings how connections are kept
     * @return the pool
     */
    public static HttpPool to(Endpoint server, EventLoops loops, TimerService timers, PoolSettings settings) {
        return new HttpPool(server, loops, timers, settings);
    }

    /**
     * Sends a request whose answer doesn't name it.
     *
     * @param request the request
     * @param listener takes its answer
     * @return the request under way
     */
    public HttpCall send(HttpRequestMessage request, AnswerListener listener) {
        return send(request, "", listener);
    }

    /**
     * Sends a request, over a connection that has not carried one of the same name lately.
     *
     * @param request the request
     * @param name how its answer names it, empty if it doesn't
     * @param listener takes its answer
     * @return the request under way
     */
    public HttpCall send(HttpRequestMessage request, String name, AnswerListener listener) {
        ClientCall call = new ClientCall(request, name, listener);
        ClientConnection connection = fresh(name);
        if (connection != null) {
            connection.start(call);
            return call;
        }
        connect(call);
        return call;
    }

    /**
     * Returns the connections.
     *
     * @return how many are open
     */
    public int size() {
        return open.size();
    }

    /** Closes the idle connections, and each other one after its request. */
    @Override
    public void close() {
        closed = true;
        for (ClientConnection c = idle.poll(); c != null; c = idle.poll()) {
            c.close();
        }
    }

    Endpoint server() {
        return server;
    }

    TimerService timers() {
        return timers;
    }

    PoolSettings settings() {
        return settings;
    }

    /**
     * Subscribes to the news that the server refuses connections, so that it has ended.
     *
     * @param listener is told each time that a connection is refused
     */
    public void onConnectionRefused(Runnable listener) {
        absent = listener;
    }

    ServerPresence presence() {
        return presence;
    }

    void opened(ClientConnection connection) {
        open.add(connection);
    }

    void ended(ClientConnection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    void release(ClientConnection connection) {
        if (closed) {
            connection.close();
            return;
        }
        idle.push(connection);
    }

    private ClientConnection fresh(String name) {
        long now = timers.nanos();
        for (ClientConnection c : idle) {
            if (c.carried(name) || !idle.remove(c)) {
                continue;
            }
            if (c.usable(now)) {
                return c;
            }
            c.close();
        }
        return null;
    }

    private void connect(ClientCall call) {
        ClientConnection connection = new ClientConnection(this, call);
        new Bootstrap()
                .group(loops.group())
                .channel(loops.socketChannelType())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        HttpDecoderConfig decoder = new HttpDecoderConfig()
                                .setMaxHeaderSize(HEADER_BYTES)
                                .setValidateHeaders(false);
                        channel.pipeline().addLast(new HttpClientCodec(decoder, false, false), connection);
                    }
                })
                .connect(new InetSocketAddress(server.host(), server.port()))
                .addListener(f -> {
                    if (ServerPresence.refused(f.cause())) {
                        absent.run();
                    }
                    if (!f.isSuccess()) {
                        call.unreachable();
                    }
                });
    }
}
