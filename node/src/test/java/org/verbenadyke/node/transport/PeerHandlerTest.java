package org.verbenadyke.node.transport;

import java.util.concurrent.atomic.AtomicInteger;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.link.Channel;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;

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
        AtomicInteger lines = new AtomicInteger();
        AbstractAppender appender = new AbstractAppender("lines", null, null, true, Property.EMPTY_ARRAY) {
            @Override
            public void append(LogEvent event) {
                lines.incrementAndGet();
            }
        };
        appender.start();
        Logger logger = (Logger) LogManager.getLogger("transport");
        Level level = logger.getLevel();
        logger.addAppender(appender);
        logger.setLevel(Level.WARN);
        try {
            EmbeddedChannel channel = new EmbeddedChannel(new PeerHandler(new NoHandler(), Counters.create()));
            for (int i = 0; i < MESSAGES; i++) {
                channel.write(Unpooled.copyInt(i), channel.voidPromise());
            }
            channel.close();
            assertFalse(channel.isOpen());
            assertTrue(lines.get() >= 1 && lines.get() <= MAX_LINES, lines + " lines");
        } finally {
            logger.removeAppender(appender);
            logger.setLevel(level);
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
