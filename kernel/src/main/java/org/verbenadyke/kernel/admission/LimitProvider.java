package org.verbenadyke.kernel.admission;

/**
 * A plug-in that makes concurrency limits; it registers itself through {@link java.util.ServiceLoader}.
 */
public interface LimitProvider {
    /**
     * Returns the name used in settings.
     *
     * @return the name
     */
    String name();

    /**
     * Makes the limit of one upstream.
     *
     * @param settings the bounds
     * @return the limit
     */
    ConcurrencyLimit create(LimitSettings settings);
}
