package org.verbenadyke.kernel.core;

import java.util.Locale;

/**
 * How an upstream announces that it is leaving.
 */
public enum LeavingAnnouncement {
    /** A heartbeat reports it. */
    HEARTBEAT,
    /** The upstream deregisters. */
    DEREGISTRATION,
    /** An answer of the upstream states it. */
    ANSWER,
    /** It was announced to an earlier process of the node. */
    EARLIER;

    /**
     * Returns the name used in logs.
     *
     * @return the name, in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
