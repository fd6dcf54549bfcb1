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
     * Starts threads of the Java platform's own selectors, which need no native library.
     *
     * @param threads how many
     * @return the threads
     */
    public static Loops nio(int threads) {
        return nio(threads, DefaultSelectStrategyFactory.INSTANCE);
    }

    /**
     * Starts threads like {@link #nio}, which rest between two turns when they are busy; see {@link EventLoopPacing}.
     *
     * @param threads how many
     * @return the threads
     */
    public static Loops paced(int threads) {
        return nio(threads, PacedSelect::create);
    }

    private static Loops nio(int threads, SelectStrategyFactory select) {
        return new Loops(
                new NioEventLoopGroup(
                        threads, new DefaultThreadFactory("io", true), SelectorProvider.provider(), select),
                NioServerSocketChannel.class,
                NioSocketChannel.class,
                NioDatagramChannel.class);
    }
}
