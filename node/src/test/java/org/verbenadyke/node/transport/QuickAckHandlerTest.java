package org.verbenadyke.node.transport;

import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a long message that waits for a delayed acknowledgement once for each window of its sender. */
final class QuickAckHandlerTest {
    private final AtomicInteger acknowledgements = new AtomicInteger();
    private boolean available = true;
    private final EmbeddedChannel channel = new EmbeddedChannel(QuickAckHandler.with(c -> {
        acknowledgements.incrementAndGet();
        return available;
    }));

    @Test
    void acknowledgesEachReadOfALongMessage() {
        receive(QuickAckHandler.LONG_MESSAGE_BYTES);
        receive(1);
        receive(1);
        assertEquals(3, acknowledgements.get());
    }

    @Test
    void leavesShortMessagesAlone() {
        for (int i = 0; i < 10; i++) {
            receive(QuickAckHandler.LONG_MESSAGE_BYTES / 2);
            channel.writeOutbound(Unpooled.buffer(1).writeZero(1));
        }
        assertEquals(0, acknowledgements.get());
    }

    @Test
    void asksNoMoreWhereTheSystemCannotDoSo() {
        available = false;
        receive(QuickAckHandler.LONG_MESSAGE_BYTES);
        receive(QuickAckHandler.LONG_MESSAGE_BYTES);
        assertEquals(1, acknowledgements.get());
    }

    @Test
    void theOptionIsTakenByAConnectionWhereTheSystemHasIt() throws Exception {
        try (var socket = SocketChannel.open()) {
            boolean supported = socket.supportedOptions().contains(ExtendedSocketOptions.TCP_QUICKACK);
            NioSocketChannel connection = new NioSocketChannel(socket);
            boolean taken =
                    connection.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK), true);
            assertEquals(supported, taken);
        }
    }

    private void receive(int bytes) {
        assertTrue(channel.writeInbound(Unpooled.buffer(bytes).writeZero(bytes)));
        assertFalse(channel.inboundMessages().isEmpty());
        channel.releaseInbound();
    }
}
