package org.verbenadyke.node.transport;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoopGroup;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.BuilderUtils;
import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutors;

/**
 * Gives access to the event loops that ServiceTalk serves HTTP on. Separate from {@link EventLoops}, so that a node
 * without ServiceTalk needs none of its libraries.
 */
public final class ServiceTalkEventLoops {
    private ServiceTalkEventLoops() {}

    /**
     * Returns the event loops of an executor.
     *
     * @param executor the executor
     * @return the event loops
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
