package org.verbenadyke.kernel.route;

/**
 * Parses an operator's document into a route plan.
 */
@FunctionalInterface
public interface RoutePlanReader {
    /**
     * Parses a document.
     *
     * @param document the document
     * @return the plan
     * @throws org.verbenadyke.kernel.error.VerbenadykeException with a specific error code when the document can't be
     *     read
     */
    RoutePlan read(byte[] document);

    /**
     * Returns a copy of a document for other nodes, without the secrets that aren't needed to parse it.
     *
     * @param document a valid document
     * @return a document that yields the same plan
     */
    default byte[] withoutSecrets(byte[] document) {
        return document;
    }
}
