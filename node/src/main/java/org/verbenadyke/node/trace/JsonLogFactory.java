package org.verbenadyke.node.trace;

import java.net.URI;

import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.config.ConfigurationSource;

/**
 * Makes {@link JsonLogConfiguration}. Named by the system property {@code log4j2.configurationFactory}.
 */
public final class JsonLogFactory extends ConfigurationFactory {
    private static final String[] ANY = {"*"};

    @Override
    protected String[] getSupportedTypes() {
        return ANY.clone();
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, ConfigurationSource source) {
        return JsonLogConfiguration.in(context);
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, String name, URI location) {
        return JsonLogConfiguration.in(context);
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, String name, URI location, ClassLoader loader) {
        return JsonLogConfiguration.in(context);
    }
}
