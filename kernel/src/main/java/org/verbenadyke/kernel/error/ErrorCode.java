package org.verbenadyke.kernel.error;

/**
 * The kinds of errors with their stable codes. The text and the remedy are in {@code messages.properties} under the
 * code.
 */
public enum ErrorCode {
    /** A settings file can't be read. */
    SETTINGS_UNREADABLE("VD-1001"),
    /** A required section is missing. */
    SETTINGS_MISSING_SECTION("VD-1002"),
    /** An unknown section. */
    SETTINGS_UNKNOWN_SECTION("VD-1003"),
    /** An unknown key in a section. */
    SETTINGS_UNKNOWN_KEY("VD-1004"),
    /** A required key is missing. */
    SETTINGS_MISSING_KEY("VD-1005"),
    /** An invalid value. */
    SETTINGS_BAD_VALUE("VD-1006"),
    /** A listening port is in use. */
    PORT_IN_USE("VD-1101"),
    /** The log service can't be reached. */
    LOG_UNREACHABLE("VD-1201"),
    /** The outcome of an append isn't known. */
    LOG_OUTCOME_UNKNOWN("VD-1202"),
    /** Records were dropped by the log's retention before they were read. */
    LOG_TRUNCATED("VD-1203"),
    /** A frame that can't be decoded. */
    FRAME_MALFORMED("VD-1301"),
    /** A frame larger than the limit. */
    FRAME_TOO_LARGE("VD-1302"),
    /** A peer speaks another version of the protocol. */
    PROTOCOL_VERSION("VD-1303"),
    /** A member record or a datagram that can't be decoded. */
    RECORD_UNREADABLE("VD-1304"),
    /** An intent names an unknown service or upstream. */
    INTENT_UNKNOWN_TARGET("VD-1401"),
    /** An intent is out of bounds. */
    INTENT_OUT_OF_BOUNDS("VD-1402"),
    /** An intent is risky and needs an explicit flag. */
    INTENT_RISKY("VD-1403"),
    /** The base version of a change plan is no longer in force. */
    PLAN_STALE("VD-1404"),
    /** A change plan that isn't known or can't be read. */
    PLAN_UNKNOWN("VD-1405"),
    /** A route plan that can't be read. */
    PLAN_UNREADABLE("VD-1406"),
    /** An answer of the platform's store that can't be read. */
    STORE_ANSWER_UNREADABLE("VD-1407"),
    /** The epoch of the platform's store isn't a number, or goes back to an earlier one. */
    STORE_EPOCH_ODD("VD-1408"),
    /** A node can't be reached by the command-line tool. */
    NODE_UNREACHABLE("VD-1501"),
    /** A plug-in that isn't registered. */
    PLUGIN_UNKNOWN("VD-1601"),
    /** An invariant was breached. */
    INVARIANT_BREACHED("VD-1901");

    private final String code;

    ErrorCode(String code) {
        this.code = code;
    }

    /**
     * Returns the stable code.
     *
     * @return the code, such as {@code VD-1001}
     */
    public String code() {
        return code;
    }
}
