package org.verbenadyke.node.http1;

import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.node.transport.QuickAckHandler;
import org.verbenadyke.node.transport.ServerProbe;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * A pool of connections to one server, with one request at a time on each. The most recently used connection is reused
 * first, so that only as many stay open as the load needs. The pool never retries a request.
 */
public final class HttpPool implements AutoCloseable {
    /**
     * The most connections that may hold the rest of a request that was answered before the server had read it. The
     * rest is not reserved any longer: with the largest accepted body of 2 MB, this many take 8 MB of direct memory.
     */
    static final int MAX_UNREAD_REQUESTS = 4;

    private final Endpoint server;
    private final EventLoops loops;
    private final TimerService timers;
    private final PoolSettings settings;
    private final Deque<ClientConnection> idle = new ConcurrentLinkedDeque<>();
    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private final ServerProbe probe;
    private final FaultLog faults;
    private final AtomicInteger unreadRequests = new AtomicInteger();
    private final AtomicInteger pausedConnections = new AtomicInteger();
    private volatile Runnable connectionRefusedListener = () -> {};
    private volatile boolean closed;

    private HttpPool(Endpoint server, EventLoops loops, TimerService timers, PoolSettings settings) {
        this.server = server;
        this.loops = loops;
        this.timers = timers;
        this.settings = settings;
        this.faults = FaultLog.of(timers);
        this.probe = ServerProbe.of(server, loops, () -> connectionRefusedListener.run());
    }

    /**
     * Creates an empty pool.
     *
     * @param server the server's address
     * @param loops the event loops that serve connections
     * @param timers the clock and the timers
     * @param settings the timeouts of connections
     * @return the pool
     */
    public static HttpPool to(Endpoint server, EventLoops loops, TimerService timers, PoolSettings settings) {
        return new HttpPool(server, loops, timers, settings);
    }

    /**
     * Sends a request without a correlation id.
     *
     * @param request the request
     * @param listener receives the answer
     * @return the request in flight
     */
    public HttpCall send(HttpRequestMessage request, AnswerListener listener) {
        return send(request, "", listener);
    }

    /**
     * Sends a request, over a connection that has not recently carried one with the same correlation id.
     *
     * @param request the request
     * @param correlationId the id that the answer repeats, empty if there is none
     * @param listener receives the answer
     * @return the request in flight
     */
    public HttpCall send(HttpRequestMessage request, String correlationId, AnswerListener listener) {
        ClientCall call = new ClientCall(request, correlationId, listener);
        ClientConnection connection = takeIdle(correlationId);
        if (connection != null) {
            connection.start(call);
            return call;
        }
        connect(call);
        return call;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int size() {
        return open.size();
    }

    /** Closes the idle connections, and each busy one after its current request. */
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
     * Sets the listener for refused connections. A refusal means that the server process has ended.
     *
     * @param listener is called each time that a connection is refused
     */
    public void onConnectionRefused(Runnable listener) {
        connectionRefusedListener = listener;
    }

    /** Logs a fault of the server; see {@link FaultLog#report}. */
    void reportFault(String format, Object... arguments) {
        faults.report(format, arguments);
    }

    ServerProbe probe() {
        return probe;
    }

    /** Creates the pace at which a new connection is read. */
    ReadPace newReadPace() {
        return ReadPace.of(timers, pausedConnections);
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

    /** Counts a connection that holds the rest of an answered request, and returns whether it may go on holding it. */
    boolean tryHoldUnread() {
        return unreadRequests.getAndUpdate(n -> Math.min(n + 1, MAX_UNREAD_REQUESTS)) < MAX_UNREAD_REQUESTS;
    }

    /** Called when the rest of a request that {@link #tryHoldUnread} counted is written or dropped. */
    void endHoldUnread() {
        unreadRequests.decrementAndGet();
    }

    private ClientConnection takeIdle(String correlationId) {
        long now = timers.nanos();
        for (ClientConnection c : idle) {
            if (c.hasCarried(correlationId) || !idle.remove(c)) {
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
                // Tells the peer's orderly end from a connection that failed.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        QuickAckHandler.create(),
                                        connection.decoder(),
                                        new HttpRequestEncoder(),
                                        connection);
                    }
                })
                .connect(new InetSocketAddress(server.host(), server.port()))
                .addListener(f -> {
                    probe.reportIfRefused(f.cause());
                    if (!f.isSuccess()) {
                        call.unreachable();
                    }
                });
    }
}
