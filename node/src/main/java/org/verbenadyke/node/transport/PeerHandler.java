package org.verbenadyke.node.transport;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

/**
 * Passes one connection's events to the decision logic. A malformed frame ends only its own connection.
 */
final class PeerHandler extends SimpleChannelInboundHandler<Message> {
    private static final Logger LOG = LogManager.getLogger("transport");

    private final Transport.Handler handler;
    private final Counters counters;

    PeerHandler(Transport.Handler handler, Counters counters) {
        this.handler = handler;
        this.counters = counters;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        handler.opened(new NettyChannel(context.channel()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Message message) {
        handler.received(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        handler.ended();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof io.netty.handler.codec.DecoderException) {
            counters.count(Event.FRAME_REJECTED);
        }
        LOG.warn("Connection from {} closed: {}.", context.channel().remoteAddress(), cause.getMessage());
        context.close();
    }

    /**
     * A connection as the decision logic sees it.
     *
     * @param channel the connection
     */
    private record NettyChannel(io.netty.channel.Channel channel) implements Channel {
        @Override
        public void write(Message message) {
            channel.writeAndFlush(message, channel.voidPromise());
        }

        @Override
        public void close() {
            channel.close();
        }
    }
}
