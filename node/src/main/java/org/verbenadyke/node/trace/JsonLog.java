package org.verbenadyke.node.trace;

import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.selector.BasicContextSelector;
import org.apache.logging.log4j.core.util.Constants;

/**
 * Installs {@link JsonLogConfiguration} as the process's logging configuration.
 */
public final class JsonLog {
    private JsonLog() {}

    /** Sets up logging. Call before any logger is created: the first logger would set up Log4j's default. */
    public static void install() {
        // One context serves the whole process; the default selector walks the stack for each logger that is created.
        System.setProperty(Constants.LOG4J_CONTEXT_SELECTOR, BasicContextSelector.class.getName());
        Configurator.initialize(JsonLogConfiguration.create());
    }
}
