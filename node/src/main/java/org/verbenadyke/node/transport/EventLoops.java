package org.verbenadyke.node.transport;

import java.nio.channels.spi.SelectorProvider;

import org.verbenadyke.kernel.time.EventLoopPacing;

import io.netty.channel.Channel;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SelectStrategyFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The threads that serve connections, with the kinds of channels that run on them.
 *
 * @param group the threads
 * @param serverChannelType the kind of listening sockets
 * @param socketChannelType the kind of connections
 * @param datagramChannelType the kind of datagram sockets
 */
public record EventLoops(
        EventLoopGroup group,
        Class<? extends ServerChannel> serverChannelType,
        Class<? extends Channel> socketChannelType,
        Class<? extends Channel> datagramChannelType) {
    /**
     * Starts threads of the Java platform's own selectors, which need no native library.
     *
     * @param threads how many
     * @return the threads
     */
    public static EventLoops nio(int threads) {
        return nio(threads, DefaultSelectStrategyFactory.INSTANCE);
    }

    /**
     * Starts threads like {@link #nio}, which rest between two turns when they are busy; see {@link EventLoopPacing}.
     *
     * @param threads how many
     * @return the threads
     */
    public static EventLoops paced(int threads) {
        return nio(threads, PacedSelect::create);
    }

    private static EventLoops nio(int threads, SelectStrategyFactory select) {
        return new EventLoops(
                new NioEventLoopGroup(
                        threads, new DefaultThreadFactory("io", true), SelectorProvider.provider(), select),
                NioServerSocketChannel.class,
                NioSocketChannel.class,
                NioDatagramChannel.class);
    }
}
