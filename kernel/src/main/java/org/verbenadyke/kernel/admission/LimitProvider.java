package org.verbenadyke.kernel.admission;

/**
 * A plug-in that creates concurrency limits; registered through {@link java.util.ServiceLoader}.
 */
public interface LimitProvider {
    /**
     * Returns the name used in settings.
     *
     * @return the name
     */
    String name();

    /**
     * Creates the limit of one upstream.
     *
     * @param settings the initial value and the bounds
     * @return the limit
     */
    ConcurrencyLimit create(LimitSettings settings);
}
