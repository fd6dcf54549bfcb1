package org.verbenadyke.node.trace;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Configures logging to standard output in the format of {@link JsonLineLayout}. The configuration is built in code and
 * without Log4j's plug-ins: finding and checking plug-ins takes more processor time than the rest of a node's start.
 */
final class JsonLogConfiguration extends AbstractConfiguration {
    /** The logger of Netty, whose own warnings are of no use to an operator. */
    private static final String NETTY_LOGGER = "io.netty";

    private static final String CONSOLE = "console";

    /** A property that Log4j looks up through the name service unless the property is set. */
    private static final String HOST_NAME = "hostName";

    private JsonLogConfiguration() {
        super(null, ConfigurationSource.NULL_SOURCE);
        // The program shuts logging down itself, after its last line.
        isShutdownHookEnabled = false;
        getProperties().put(HOST_NAME, "");
    }

    static JsonLogConfiguration create() {
        return new JsonLogConfiguration();
    }

    /** Skips the search for plug-ins, since this configuration uses none. */
    @Override
    public void initialize() {
        doConfigure();
        setState(State.INITIALIZED);
    }

    @Override
    protected void doConfigure() {
        OutputStreamAppender console =
                OutputStreamAppender.createAppender(JsonLineLayout.create(), null, System.out, CONSOLE, false, true);
        console.start();
        addAppender(console);
        getRootLogger().setLevel(Level.INFO);
        getRootLogger().addAppender(console, null, null);
        addLogger(NETTY_LOGGER, new LoggerConfig(NETTY_LOGGER, Level.ERROR, true));
    }
}
