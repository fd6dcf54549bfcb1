package org.verbenadyke.kernel.team;

import java.util.Locale;

/**
 * The reason why a caller could not be identified.
 */
public enum KeyFault {
    /** The request has no key. */
    MISSING,
    /** The request has several key fields. */
    REPEATED,
    /** The key exceeds the maximum length. */
    TOO_LONG,
    /** No team holds the key. */
    UNKNOWN;

    /**
     * Returns the name used in logs.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
