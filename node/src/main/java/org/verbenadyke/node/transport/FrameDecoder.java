package org.verbenadyke.node.transport;

import java.util.List;

import org.verbenadyke.wire.FrameCodec;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;

/**
 * Decodes complete frames to messages.
 */
final class FrameDecoder extends MessageToMessageDecoder<ByteBuf> {
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        out.add(FrameCodec.decode(bytes));
    }
}
