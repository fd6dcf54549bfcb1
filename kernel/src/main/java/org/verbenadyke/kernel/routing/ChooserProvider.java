package org.verbenadyke.kernel.routing;

/**
 * A plug-in that makes choosers; it registers itself through {@link java.util.ServiceLoader}.
 */
public interface ChooserProvider {
    /**
     * Returns the name used in settings.
     *
     * @return the name
     */
    String name();

    /**
     * Makes a chooser.
     *
     * @return the chooser, safe for many threads
     */
    Chooser create();
}
