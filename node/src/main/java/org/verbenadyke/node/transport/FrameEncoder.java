package org.verbenadyke.node.transport;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.wire.FrameCodec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/**
 * Encodes messages as length-prefixed frames.
 */
final class FrameEncoder extends MessageToByteEncoder<Message> {
    @Override
    protected void encode(ChannelHandlerContext context, Message message, ByteBuf out) {
        byte[] frame = FrameCodec.encode(message);
        out.writeInt(frame.length);
        out.writeBytes(frame);
    }
}
