package org.verbenadyke.cli;

/**
 * The exit codes of all commands.
 */
final class ExitCodes {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int LOST = 3;
    static final int UNKNOWN = 4;
    static final int RISKY = 5;
    static final int NOT_YET = 6;

    private ExitCodes() {}
}
