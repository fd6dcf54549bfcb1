package org.verbenadyke.node.transport;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.BuilderUtils;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutors;

/**
 * The threads that serve connections, with the kinds of channels that run on them.
 *
 * @param group the threads
 * @param server the kind of listening sockets
 * @param socket the kind of connections
 * @param datagram the kind of datagram sockets
 */
public record Loops(
        EventLoopGroup group,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> socket,
        Class<? extends Channel> datagram) {
    /**
     * Returns the threads of a ServiceTalk executor, which also serve its HTTP.
     *
     * @param executor the executor
     * @return its threads
     */
    public static Loops of(IoExecutor executor) {
        EventLoopGroup group = EventLoopAwareNettyIoExecutors.toEventLoopAwareNettyIoExecutor(executor)
                .eventLoopGroup();
        return new Loops(
                group,
                BuilderUtils.serverChannel(group, InetSocketAddress.class),
                BuilderUtils.socketChannel(group, InetSocketAddress.class),
                BuilderUtils.datagramChannel(group));
    }

    /**
     * Starts threads of the Java platform's own selectors, which need no native library.
     *
     * @param threads how many
     * @return the threads
     */
    public static Loops nio(int threads) {
        return new Loops(
                new NioEventLoopGroup(threads, new DefaultThreadFactory("io", true)),
                NioServerSocketChannel.class,
                NioSocketChannel.class,
                NioDatagramChannel.class);
    }
}
