package org.verbenadyke.node.transport;

import org.apache.logging.log4j.Level;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.node.trace.RecordedLog;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a log line for each message that can't be written any more. */
final class PeerHandlerTest {
    private static final int MESSAGES = 100_000;

    /** The cause, and how many failures followed. */
    private static final int MAX_LINES = 2;

    @Test
    void aConnectionThatFailsIsLoggedOnce() {
        try (RecordedLog log = RecordedLog.of("transport", Level.WARN)) {
            EmbeddedChannel channel = new EmbeddedChannel(new PeerHandler(new NoHandler(), Counters.create()));
            for (int i = 0; i < MESSAGES; i++) {
                channel.write(Unpooled.copyInt(i), channel.voidPromise());
            }
            channel.close();
            assertFalse(channel.isOpen());
            int lines = log.lines().size();
            assertTrue(lines >= 1 && lines <= MAX_LINES, lines + " lines");
        }
    }

    /** Ignores all events. */
    private static final class NoHandler implements Transport.Handler {
        @Override
        public void opened(Channel channel) {
            // Ignored.
        }

        @Override
        public void received(Message message) {
            // Ignored.
        }

        @Override
        public void connectionClosed() {
            // Ignored.
        }
    }
}
