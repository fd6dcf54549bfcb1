package org.verbenadyke.node.transport;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Acknowledges the parts of a long message at once. On a connection on which messages go back and forth the kernel
 * delays acknowledgements, in the hope of sending them with the next message. A sender with a small window then waits
 * for that delay once for each window.
 *
 * <p>The kernel returns to delaying by itself, so that the option is set after each read. Short messages, which fit
 * into any window, are left alone.
 */
public final class QuickAckHandler extends ChannelDuplexHandler {
    /** The number of bytes received in a row, with none sent, after which a message counts as long. */
    static final int LONG_MESSAGE_BYTES = 64 * 1024;

    private static final Logger LOG = LogManager.getLogger("transport");
    private static final ChannelOption<Boolean> QUICK_ACK = NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK);

    private final Acknowledgement acknowledgement;
    private long receivedInRow;
    private boolean unavailable;

    private QuickAckHandler(Acknowledgement acknowledgement) {
        this.acknowledgement = acknowledgement;
    }

    /**
     * Creates the handler of one connection. It is the first of its pipeline.
     *
     * @return the handler
     */
    public static QuickAckHandler create() {
        return with(QuickAckHandler::acknowledge);
    }

    static QuickAckHandler with(Acknowledgement acknowledgement) {
        return new QuickAckHandler(acknowledgement);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            receivedInRow += bytes.readableBytes();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (receivedInRow >= LONG_MESSAGE_BYTES
                && !unavailable
                && context.channel().isActive()) {
            unavailable = !acknowledgement.sendFor(context.channel());
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        receivedInRow = 0;
        context.write(message, promise);
    }

    private static boolean acknowledge(Channel channel) {
        try {
            if (channel.config().setOption(QUICK_ACK, true)) {
                return true;
            }
            LOG.debug("Acknowledgements to {} stay delayed: the system has no such option.", channel.remoteAddress());
        } catch (ChannelException e) {
            LOG.debug("Acknowledgements to {} stay delayed: {}.", channel.remoteAddress(), e.getMessage());
        }
        return false;
    }

    /** Sends the acknowledgements of a connection that are due. */
    interface Acknowledgement {
        /** Returns whether the system can do so. */
        boolean sendFor(Channel channel);
    }
}
