package org.verbenadyke.node.transport;

import java.nio.channels.spi.SelectorProvider;

import org.verbenadyke.kernel.time.TurnPacing;

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
 * @param server the channel type of listening sockets
 * @param socket the channel type of connections
 * @param datagram the channel type of datagram sockets
 */
public record Loops(
        EventLoopGroup group,
        Class<? extends ServerChannel> server,
        Class<? extends Channel> socket,
        Class<? extends Channel> datagram) {
    /**
     * Starts event loops on the Java platform's own selectors, which need no native library.
     *
     * @param threads the number of event loops
     * @return the event loops
     */
    public static Loops nio(int threads) {
        return nio(threads, DefaultSelectStrategyFactory.INSTANCE);
    }

    /**
     * Starts event loops like {@link #nio} that rest between two iterations when they are busy; see {@link TurnPacing}.
     *
     * @param threads the number of event loops
     * @return the event loops
     */
    public static Loops paced(int threads) {
        return nio(threads, PacedSelectStrategy::create);
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
