package org.verbenadyke.kernel.route;

/**
 * Reads an operator's document.
 */
@FunctionalInterface
public interface PlanReader {
    /**
     * Reads a document.
     *
     * @param document the document
     * @return the plan
     * @throws org.verbenadyke.kernel.error.VerbenadykeException with a code of its own when it can't be read
     */
    RoutePlan read(byte[] document);
}
