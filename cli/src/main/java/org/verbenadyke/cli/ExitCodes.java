package org.verbenadyke.cli;

/**
 * The exit codes of all commands.
 */
final class ExitCodes {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    /** Another change was confirmed first. */
    static final int SUPERSEDED = 3;

    /** The outcome of a confirmation isn't known yet. */
    static final int UNKNOWN = 4;

    /** The plan is risky and the risks were not accepted. */
    static final int RISKY = 5;

    /** The configuration isn't in force on every node yet. */
    static final int NOT_IN_FORCE_YET = 6;

    private ExitCodes() {}
}
