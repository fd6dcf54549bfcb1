package org.verbenadyke.standins.platform;

/**
 * What the store's stand-in does to calls.
 */
public enum StoreFault {
    /** It answers. */
    NONE,
    /** It refuses: nothing is done. */
    REFUSES,
    /** It doesn't answer, and does nothing. */
    SILENT,
    /** It answers reads with bytes that mean nothing. */
    GARBLES,
    /** It does what is asked and doesn't answer. */
    LOSES_ANSWERS
}
