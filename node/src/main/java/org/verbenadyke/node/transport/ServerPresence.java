package org.verbenadyke.node.transport;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.serve.UpstreamPort;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;

/**
 * Finds out whether a server still listens. When a server ends, all its exchanges break at once; they share one
 * connection attempt, which takes well under a millisecond on the same machine.
 */
public final class ServerPresence {
    /** How long the attempt may take, in milliseconds: a machine refuses a port of its own at once, or it is frozen. */
    private static final int CONNECT_MILLIS = 200;

    private final Endpoint server;
    private final EventLoops loops;
    private final Runnable absent;
    private final List<UpstreamPort.Listener> waiting = new ArrayList<>();

    private ServerPresence(Endpoint server, EventLoops loops, Runnable absent) {
        this.server = server;
        this.loops = loops;
        this.absent = absent;
    }

    /**
     * Creates the way to ask.
     *
     * @param server where the server listens
     * @param loops the threads to connect on
     * @param absent is told each time that a connection is refused
     * @return the way to ask
     */
    public static ServerPresence of(Endpoint server, EventLoops loops, Runnable absent) {
        return new ServerPresence(server, loops, absent);
    }

    /**
     * Tells a listener why its exchange broke: the server ended, or only the connection broke. Asks by a new
     * connection, which a server that ended refuses at once. Questions that come while one is open are answered
     * together.
     *
     * @param listener is told once; that the server ended only if the connection was refused
     */
    public void explainBreak(UpstreamPort.Listener listener) {
        synchronized (waiting) {
            waiting.add(listener);
            if (waiting.size() > 1) {
                return;
            }
        }
        new Bootstrap()
                .group(loops.group())
                .channel(loops.socketChannelType())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(new InetSocketAddress(server.host(), server.port()))
                .addListener((ChannelFuture f) -> {
                    Channel channel = f.channel();
                    channel.close();
                    if (refused(f.cause())) {
                        absent.run();
                    }
                    tell(!refused(f.cause()));
                });
    }

    private void tell(boolean listens) {
        List<UpstreamPort.Listener> told;
        synchronized (waiting) {
            told = List.copyOf(waiting);
            waiting.clear();
        }
        told.forEach(listens ? UpstreamPort.Listener::broken : UpstreamPort.Listener::upstreamCrashed);
    }

    /**
     * Tells whether a connection failed since nothing listens where it leads.
     *
     * @param cause why it failed, null if it didn't
     * @return whether it was refused
     */
    public static boolean refused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
