package org.verbenadyke.node.trace;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Logs to standard output as {@link JsonLineLayout} writes it. Set up in code: reading the same from a file takes about
 * as much processor time as the rest of a node's start.
 */
final class JsonLogConfiguration extends AbstractConfiguration {
    /** The library's own warnings are of no use to an operator. */
    private static final String NETTY = "io.netty";

    private JsonLogConfiguration(LoggerContext context) {
        super(context, ConfigurationSource.NULL_SOURCE);
        // The program ends the log itself, after its last line.
        isShutdownHookEnabled = false;
    }

    static JsonLogConfiguration in(LoggerContext context) {
        return new JsonLogConfiguration(context);
    }

    @Override
    protected void doConfigure() {
        ConsoleAppender console = ConsoleAppender.newBuilder()
                .setName("console")
                .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                .setLayout(JsonLineLayout.create())
                .build();
        console.start();
        addAppender(console);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(console, null, null);
        addLogger(NETTY, new LoggerConfig(NETTY, Level.ERROR, true));
    }
}
