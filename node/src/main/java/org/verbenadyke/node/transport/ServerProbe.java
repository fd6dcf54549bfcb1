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
 * Probes whether a server still listens. When a server crashes, all its exchanges break at once; they share one
 * connection attempt, which takes well under a millisecond on the same machine.
 */
public final class ServerProbe {
    /** The timeout of the attempt, in milliseconds: unless frozen, a machine refuses a closed local port at once. */
    private static final int CONNECT_MILLIS = 200;

    private final Endpoint server;
    private final EventLoops loops;
    private final Runnable connectionRefusedListener;
    private final List<UpstreamPort.Listener> waiting = new ArrayList<>();

    private ServerProbe(Endpoint server, EventLoops loops, Runnable connectionRefusedListener) {
        this.server = server;
        this.loops = loops;
        this.connectionRefusedListener = connectionRefusedListener;
    }

    /**
     * Creates a probe.
     *
     * @param server the server's address
     * @param loops the event loops to connect on
     * @param connectionRefusedListener is called each time that a connection is refused
     * @return the probe
     */
    public static ServerProbe of(Endpoint server, EventLoops loops, Runnable connectionRefusedListener) {
        return new ServerProbe(server, loops, connectionRefusedListener);
    }

    /**
     * Reports to a listener why its exchange broke: because the server crashed, or because only the connection broke.
     * Probes with a new connection, which is refused at once if the server has crashed. Listeners that are added while
     * a probe is running share its result.
     *
     * @param listener is called once; a crash is reported only if the connection was refused
     */
    public void reportBreakCause(UpstreamPort.Listener listener) {
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
                    notifyWaiting(!reportIfRefused(f.cause()));
                });
    }

    /**
     * Notifies the listener for refused connections if a connection attempt to the server was refused.
     *
     * @param cause the cause of the failure, null if the connection succeeded
     * @return whether the connection was refused
     */
    public boolean reportIfRefused(Throwable cause) {
        boolean refused = isConnectionRefused(cause);
        if (refused) {
            connectionRefusedListener.run();
        }
        return refused;
    }

    private void notifyWaiting(boolean listens) {
        List<UpstreamPort.Listener> listeners;
        synchronized (waiting) {
            listeners = List.copyOf(waiting);
            waiting.clear();
        }
        listeners.forEach(listens ? UpstreamPort.Listener::broken : UpstreamPort.Listener::upstreamCrashed);
    }

    /** Returns whether a connection failed because nothing listens at its address. */
    private static boolean isConnectionRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
