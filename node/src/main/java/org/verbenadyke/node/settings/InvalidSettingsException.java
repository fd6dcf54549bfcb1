package org.verbenadyke.node.settings;

import java.util.List;

/**
 * Thrown when a settings file is invalid; lists every problem found in the file.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    private InvalidSettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Creates the exception.
     *
     * @param problems the problems, each with its code, file, section, key and remedy
     * @return the exception, to be thrown
     */
    public static InvalidSettingsException of(List<String> problems) {
        return new InvalidSettingsException(problems);
    }

    /**
     * Returns the problems.
     *
     * @return the messages, one for each problem
     */
    public List<String> problems() {
        return problems;
    }
}
