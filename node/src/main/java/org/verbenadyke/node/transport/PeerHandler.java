package org.verbenadyke.node.transport;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;

/**
 * Passes the events of one connection to the decision logic. A malformed frame closes only its own connection.
 */
final class PeerHandler extends SimpleChannelInboundHandler<Message> {
    private static final Logger LOG = LogManager.getLogger("transport");

    private final Transport.Handler handler;
    private final Counters counters;
    private int failures;

    PeerHandler(Transport.Handler handler, Counters counters) {
        this.handler = handler;
        this.counters = counters;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        handler.opened(NettyChannel.of(context.channel()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Message message) {
        handler.received(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (failures > 1) {
            LOG.warn("Connection from {}: {} more failures.", context.channel().remoteAddress(), failures - 1);
        }
        handler.connectionClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            counters.count(Event.FRAME_REJECTED);
        }
        // Each message that waits to be written fails on its own when the connection closes.
        failures++;
        if (failures == 1) {
            LOG.warn("Connection from {} closed: {}.", context.channel().remoteAddress(), cause.toString());
        }
        context.close();
    }
}
