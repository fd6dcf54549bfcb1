package org.verbenadyke.kernel.route;

/**
 * Reads an operator's document.
 */
@FunctionalInterface
public interface RoutePlanReader {
    /**
     * Reads a document.
     *
     * @param document the document
     * @return the plan
     * @throws org.verbenadyke.kernel.error.VerbenadykeException with a code of its own when it can't be read
     */
    RoutePlan read(byte[] document);

    /**
     * Returns a document as other nodes may get it: without secrets that reading it doesn't need.
     *
     * @param document a document that can be read
     * @return a document that reads as the same plan
     */
    default byte[] withoutSecrets(byte[] document) {
        return document;
    }
}
