package org.verbenadyke.node.settings;

import java.util.List;

/**
 * Thrown when a settings file can't be used; carries every problem found in it.
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
     * @param problems each with its code, file, section, key and remedy
     * @return the exception, to be thrown
     */
    public static InvalidSettingsException of(List<String> problems) {
        return new InvalidSettingsException(problems);
    }

    /**
     * Returns the problems.
     *
     * @return one text each
     */
    public List<String> problems() {
        return problems;
    }
}
