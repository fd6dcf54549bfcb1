package org.verbenadyke.node.trace;

import java.util.Set;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configuration;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests {@link JsonLogConfiguration}. */
final class JsonLogConfigurationTest {
    private final Configuration configuration = JsonLogConfiguration.create();

    @Test
    void logsJsonLinesToASingleAppender() {
        configuration.initialize();
        assertEquals(Set.of("console"), configuration.getAppenders().keySet());
        assertInstanceOf(
                JsonLineLayout.class, configuration.getAppender("console").getLayout());
        assertEquals(Level.INFO, configuration.getRootLogger().getLevel());
    }

    @Test
    void suppressesNettyWarnings() {
        configuration.initialize();
        assertEquals(
                Level.ERROR, configuration.getLoggerConfig("io.netty.channel").getLevel());
    }
}
