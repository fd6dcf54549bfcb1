package org.verbenadyke.kernel.plan;

import java.util.List;

/**
 * Thrown when intents are invalid; lists every problem found.
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
     * @param problems the problems, each with its error code and remedy
     * @return the exception, to be thrown
     */
    public static InvalidIntentsException of(List<String> problems) {
        return new InvalidIntentsException(problems);
    }

    /**
     * Returns the problems.
     *
     * @return a sentence for each problem
     */
    public List<String> problems() {
        return problems;
    }
}
