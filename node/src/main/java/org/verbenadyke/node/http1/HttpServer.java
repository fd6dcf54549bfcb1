package org.verbenadyke.node.http1;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.transport.Binding;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.node.transport.QuickAckHandler;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;

/**
 * An HTTP/1.1 server on Netty's codec. Used where ServiceTalk's server doesn't expose enough: when a caller
 * disconnects, which connections are idle, and which request was read when a connection is closed.
 */
public final class HttpServer implements AutoCloseable {
    /** The accept queue's length; a burst of new connections must not overflow the queue. */
    private static final int BACKLOG = 1_024;

    /** How often idle connections are closed, in nanoseconds: coarse, since idle timeouts are seconds. */
    private static final long SWEEP_NANOS = 1_000_000_000L;

    private static final int INITIAL_LINE_BYTES = 8_192;

    private final Supplier<ServerLimits> limits;
    private final HttpHandler handler;
    private final TimerService timers;
    private final BodyMemory bodies;
    private final FaultLog faults;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closing;
    private Channel listener;
    private Subscription sweeper;

    private HttpServer(Supplier<ServerLimits> limits, HttpHandler handler, TimerService timers, BodyMemory bodies) {
        this.faults = FaultLog.of(timers);
        this.limits = limits;
        this.handler = handler;
        this.timers = timers;
        this.bodies = bodies;
    }

    /**
     * Starts a server that reads all bodies at once.
     *
     * @param endpoint the address
     * @param loops the event loops that serve connections
     * @param timers the clock and the timers
     * @param limits supplies the limits of each new connection
     * @param handler handles the requests
     * @return the server
     * @throws VerbenadykeException with {@link ErrorCode#PORT_IN_USE}
     */
    public static HttpServer listen(
            Endpoint endpoint,
            EventLoops loops,
            TimerService timers,
            Supplier<ServerLimits> limits,
            HttpHandler handler) {
        return listen(endpoint, loops, timers, limits, BodyMemory.unlimited(timers), handler);
    }

    /**
     * Starts a server that reads a body when there is memory for it.
     *
     * @param endpoint the address
     * @param loops the event loops that serve connections
     * @param timers the clock and the timers
     * @param limits supplies the limits of each new connection
     * @param bodies limits the memory for bodies
     * @param handler handles the requests
     * @return the server
     * @throws VerbenadykeException with {@link ErrorCode#PORT_IN_USE}
     */
    public static HttpServer listen(
            Endpoint endpoint,
            EventLoops loops,
            TimerService timers,
            Supplier<ServerLimits> limits,
            BodyMemory bodies,
            HttpHandler handler) {
        HttpServer server = new HttpServer(limits, handler, timers, bodies);
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(loops.serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(server.initializer())
                .bind(new InetSocketAddress(endpoint.host(), endpoint.port()));
        server.listener = Binding.await(bound, endpoint, "http");
        server.sweeper = timers.every(SWEEP_NANOS, server::sweep);
        return server;
    }

    /** Stops accepting connections, closes the idle ones, and closes each busy one after its current request. */
    public void shutdownGracefully() {
        closing = true;
        listener.close();
        sweep();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int connections() {
        return connections.size();
    }

    @Override
    public void close() {
        sweeper.cancel();
        listener.close();
        connections.forEach(ServerConnection::close);
    }

    boolean closing() {
        return closing;
    }

    /** Logs a fault of a caller; see {@link FaultLog#report}. */
    void reportFault(String format, Object... arguments) {
        faults.report(format, arguments);
    }

    HttpHandler handler() {
        return handler;
    }

    TimerService timers() {
        return timers;
    }

    BodyMemory bodies() {
        return bodies;
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
    }

    void ended(ServerConnection connection) {
        connections.remove(connection);
    }

    private void sweep() {
        long now = timers.nanos();
        connections.forEach(c -> c.closeIfIdle(now));
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                ServerLimits l = limits.get();
                RequestDecoder decoder = RequestDecoder.limitedTo(INITIAL_LINE_BYTES, l.headerBytes());
                channel.pipeline()
                        .addLast(
                                QuickAckHandler.create(),
                                decoder,
                                AnswerEncoder.answering(decoder),
                                new ServerConnection(HttpServer.this, l));
            }
        };
    }
}
