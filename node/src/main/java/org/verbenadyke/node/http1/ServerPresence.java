package org.verbenadyke.node.http1;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.transport.Loops;

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
final class ServerPresence {
    /** How long the attempt may take, in milliseconds: a machine refuses a port of its own at once, or it is frozen. */
    private static final int CONNECT_MILLIS = 200;

    private final Endpoint server;
    private final Loops loops;
    private final Runnable absent;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();

    private ServerPresence(Endpoint server, Loops loops, Runnable absent) {
        this.server = server;
        this.loops = loops;
        this.absent = absent;
    }

    /** Creates the way to ask; {@code absent} is told each time that a connection is refused. */
    static ServerPresence of(Endpoint server, Loops loops, Runnable absent) {
        return new ServerPresence(server, loops, absent);
    }

    /** Asks; the taker is told false only if the connection was refused. */
    void ask(Consumer<Boolean> taker) {
        synchronized (waiting) {
            waiting.add(taker);
            if (waiting.size() > 1) {
                return;
            }
        }
        new Bootstrap()
                .group(loops.group())
                .channel(loops.socket())
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
        List<Consumer<Boolean>> told;
        synchronized (waiting) {
            told = List.copyOf(waiting);
            waiting.clear();
        }
        told.forEach(t -> t.accept(listens));
    }

    /** Tells whether a connection failed since nothing listens where it leads; a null cause is no failure. */
    static boolean refused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
