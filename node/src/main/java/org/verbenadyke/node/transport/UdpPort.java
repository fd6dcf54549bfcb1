package org.verbenadyke.node.transport;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.membership.DatagramPort;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;
import org.verbenadyke.wire.GossipCodec;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/**
 * The datagrams between nodes: UDP on the same port number as the connections.
 */
public final class UdpPort implements DatagramPort, AutoCloseable {
    private static final int DATAGRAM_MOST = 65_507;

    private final Channel channel;

    private UdpPort(Channel channel) {
        this.channel = channel;
    }

    /**
     * Listens for datagrams.
     *
     * @param endpoint the address
     * @param loops the threads that serve connections
     * @param counters where datagrams and records that can't be read are counted
     * @param decisions takes what was wrong with them
     * @param taker takes each datagram with its sender's address
     * @return the port
     */
    public static UdpPort listen(
            Endpoint endpoint,
            EventLoops loops,
            Counters counters,
            DecisionLog decisions,
            BiConsumer<Endpoint, GossipMessage> taker) {
        ChannelFuture bound = new Bootstrap()
                .group(loops.group())
                .channel(loops.datagramChannelType())
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(DATAGRAM_MOST))
                .handler(new Receiver(counters, decisions, taker))
                .bind(new InetSocketAddress(endpoint.host(), endpoint.port()));
        return new UdpPort(Binding.await(bound, endpoint, "datagrams"));
    }

    @Override
    public void send(Endpoint to, GossipMessage message) {
        byte[] bytes = GossipCodec.encode(message);
        if (bytes.length <= DATAGRAM_MOST) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(to.host(), to.port())),
                    channel.voidPromise());
        }
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }

    /**
     * Decodes what arrives; what can't be decoded is left out, noted and counted.
     */
    private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Counters counters;
        private final DecisionLog decisions;
        private final BiConsumer<Endpoint, GossipMessage> taker;

        private Receiver(Counters counters, DecisionLog decisions, BiConsumer<Endpoint, GossipMessage> taker) {
            this.counters = counters;
            this.decisions = decisions;
            this.taker = taker;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            Endpoint sender = new Endpoint(
                    packet.sender().getAddress().getHostAddress(),
                    packet.sender().getPort());
            GossipMessage message;
            try {
                message = GossipCodec.decode(bytes, why -> skip(sender, why));
            } catch (VerbenadykeException e) {
                skip(sender, e.getMessage());
                return;
            }
            taker.accept(sender, message);
        }

        private void skip(Endpoint sender, String why) {
            counters.count(Event.RECORD_SKIPPED);
            decisions.note(new Decision.RecordSkipped(sender.toString(), "", why));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            counters.count(Event.FRAME_REJECTED);
        }
    }
}
