package org.verbenadyke.node.transport;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.BuilderUtils;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutors;

/**
 * Takes the threads that ServiceTalk serves HTTP on. Apart from {@link EventLoops}, so that a node without ServiceTalk
 * needs none of its libraries.
 */
public final class SharedLoops {
    private SharedLoops() {}

    /**
     * Returns the threads of an executor.
     *
     * @param executor the executor
     * @return its threads
     */
    public static EventLoops of(IoExecutor executor) {
        EventLoopGroup group = EventLoopAwareNettyIoExecutors.toEventLoopAwareNettyIoExecutor(executor)
                .eventLoopGroup();
        return new EventLoops(
                group,
                BuilderUtils.serverChannel(group, InetSocketAddress.class),
                BuilderUtils.socketChannel(group, InetSocketAddress.class),
                BuilderUtils.datagramChannel(group));
    }
}
