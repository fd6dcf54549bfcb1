package org.verbenadyke.node.trace;

import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.selector.BasicContextSelector;
import org.apache.logging.log4j.core.util.Constants;

/**
 * Makes the process log as {@link JsonLogConfiguration} says.
 */
public final class JsonLog {
    private JsonLog() {}

    /** Sets logging up. To be called before the first logger is made: that one would set up the library's default. */
    public static void install() {
        // One context serves the whole process; the usual selector walks the stack for each logger that is made.
        System.setProperty(Constants.LOG4J_CONTEXT_SELECTOR, BasicContextSelector.class.getName());
        Configurator.initialize(JsonLogConfiguration.create());
    }
}
