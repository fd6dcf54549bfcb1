package org.verbenadyke.node.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.message.Message;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.local.LocalChannel;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link NettyChannel}. */
final class NettyChannelTest {
    private static final long TIMEOUT_SECONDS = 30;

    @Test
    void keepsOrderBetweenTheLoopAndOtherThreads() throws Exception {
        DefaultEventLoop loop = new DefaultEventLoop();
        BlockingQueue<Long> written = new LinkedBlockingQueue<>();
        Channel raw = new LocalChannel();
        raw.pipeline().addLast(new Recorder(written));
        loop.register(raw).sync();
        NettyChannel channel = NettyChannel.of(raw);
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch wroteOutside = new CountDownLatch(1);
        loop.execute(() -> {
            busy.countDown();
            await(wroteOutside);
            channel.write(new Message.Heartbeat(2));
        });
        await(busy);
        channel.write(new Message.Heartbeat(1));
        wroteOutside.countDown();
        List<Long> order = new ArrayList<>();
        order.add(written.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        order.add(written.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        assertEquals(List.of(1L, 2L), order);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records the sender clocks of the written heartbeats. */
    private static final class Recorder extends ChannelOutboundHandlerAdapter {
        private final BlockingQueue<Long> written;

        Recorder(BlockingQueue<Long> written) {
            this.written = written;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            written.add(((Message.Heartbeat) message).senderClock());
        }
    }
}
