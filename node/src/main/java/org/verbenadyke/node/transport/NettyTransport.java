package org.verbenadyke.node.transport;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.wire.FrameCodec;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;

/**
 * Connects nodes over TCP, on the event loops that also serve HTTP.
 */
public final class NettyTransport implements Transport {
    private static final int CONNECT_MILLIS = 1_000;

    /** How many flushes may be consolidated into one write, so that the parts of an answer are sent together. */
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private final EventLoops loops;
    private final Counters counters;

    private NettyTransport(EventLoops loops, Counters counters) {
        this.loops = loops;
        this.counters = counters;
    }

    /**
     * Creates a transport.
     *
     * @param loops the event loops that serve connections
     * @param counters where rejected frames are counted
     * @return the transport
     */
    public static NettyTransport on(EventLoops loops, Counters counters) {
        return new NettyTransport(loops, counters);
    }

    /**
     * Listens for other nodes.
     *
     * @param endpoint the address
     * @param handlers creates the handler of each connection
     * @return the listening socket, to be closed
     */
    public AutoCloseable listen(Endpoint endpoint, Supplier<Handler> handlers) {
        InetSocketAddress address = new InetSocketAddress(endpoint.host(), endpoint.port());
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops.group())
                .channel(loops.serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(handlers));
        Channel server = Binding.await(bootstrap.bind(address), endpoint, "peers");
        return () -> server.close().awaitUninterruptibly();
    }

    @Override
    public void connect(Endpoint endpoint, Handler handler) {
        new Bootstrap()
                .group(loops.group())
                .channel(loops.socketChannelType())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(initializer(() -> handler))
                .connect(endpoint.host(), endpoint.port())
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        handler.connectionClosed();
                    }
                });
    }

    private ChannelInitializer<Channel> initializer(Supplier<Handler> handlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                FrameCodec.MAX_FRAME_BYTES, 0, FrameCodec.LENGTH_BYTES, 0, FrameCodec.LENGTH_BYTES))
                        .addLast(new FrameDecoder())
                        .addLast(new FrameEncoder())
                        .addLast(new PeerHandler(handlers.get(), counters));
            }
        };
    }
}
