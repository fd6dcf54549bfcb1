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
 * The event loops that serve connections, with the channel types that they support.
 *
 * @param group the event loops
 * @param serverChannelType the channel type of listening sockets
 * @param socketChannelType the channel type of connections
 * @param datagramChannelType the channel type of datagram sockets
 */
public record EventLoops(
        EventLoopGroup group,
        Class<? extends ServerChannel> serverChannelType,
        Class<? extends Channel> socketChannelType,
        Class<? extends Channel> datagramChannelType) {
    /**
     * Starts event loops on the Java platform's own selectors, which need no native library.
     *
     * @param threads the number of event loops
     * @return the event loops
     */
    public static EventLoops nio(int threads) {
        return nio(threads, DefaultSelectStrategyFactory.INSTANCE);
    }

    /**
     * Starts event loops like {@link #nio} that rest between two iterations when they are busy; see
     * {@link EventLoopPacing}.
     *
     * @param threads the number of event loops
     * @return the event loops
     */
    public static EventLoops paced(int threads) {
        return nio(threads, PacedSelectStrategy::create);
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
