package org.verbenadyke.kernel.plan;

import java.util.List;

/**
 * Thrown when intents can't be planned; carries every problem found.
 */
public final class InvalidIntentsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    private InvalidIntentsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Creates the exception.
     *
     * @param problems each with its code and remedy
     * @return the exception, to be thrown
     */
    public static InvalidIntentsException of(List<String> problems) {
        return new InvalidIntentsException(problems);
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
