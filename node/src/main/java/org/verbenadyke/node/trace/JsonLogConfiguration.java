package org.verbenadyke.node.trace;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.OutputStreamAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Logs to standard output as {@link JsonLineLayout} writes it. Set up in code and without the library's plug-ins:
 * finding and checking those takes more processor time than the rest of a node's start.
 */
final class JsonLogConfiguration extends AbstractConfiguration {
    /** The library's own warnings are of no use to an operator. */
    private static final String NETTY = "io.netty";

    private static final String CONSOLE = "console";

    /** A property that the library looks up by the name service unless it is set. */
    private static final String HOST_NAME = "hostName";

    private JsonLogConfiguration() {
        super(null, ConfigurationSource.NULL_SOURCE);
        // The program ends the log itself, after its last line.
        isShutdownHookEnabled = false;
        getProperties().put(HOST_NAME, "");
    }

    static JsonLogConfiguration create() {
        return new JsonLogConfiguration();
    }

    /** Leaves out the search for plug-ins, none of which is used here. */
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
        addLogger(NETTY, new LoggerConfig(NETTY, Level.ERROR, true));
    }
}
