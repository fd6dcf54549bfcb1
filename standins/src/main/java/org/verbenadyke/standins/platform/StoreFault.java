package org.verbenadyke.standins.platform;

/**
 * Fault injected into the stand-in store.
 */
public enum StoreFault {
    /** Calls are performed and answered. */
    NONE,
    /** Calls are refused and not performed. */
    REFUSES,
    /** Calls are neither performed nor answered. */
    SILENT,
    /** Calls aren't performed and are answered with meaningless bytes. */
    GARBLES,
    /** Appends are performed; no call is answered. */
    LOSES_ANSWERS
}
