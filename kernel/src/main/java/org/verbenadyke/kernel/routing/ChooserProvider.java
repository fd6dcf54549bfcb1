package org.verbenadyke.kernel.routing;

/**
 * A plug-in that creates choosers, registered through {@link java.util.ServiceLoader}.
 */
public interface ChooserProvider {
    /**
     * Returns the name used in settings.
     *
     * @return the name
     */
    String name();

    /**
     * Creates a chooser.
     *
     * @return the chooser, which must be thread-safe
     */
    Chooser create();
}
