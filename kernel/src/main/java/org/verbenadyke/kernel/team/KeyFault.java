package org.verbenadyke.kernel.team;

import java.util.Locale;

/**
 * Why a caller isn't known.
 */
public enum KeyFault {
    /** The request brings no key. */
    MISSING,
    /** The request brings several key fields. */
    REPEATED,
    /** The key is longer than any key may be. */
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
