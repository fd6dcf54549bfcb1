package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.notice.StartNotices;

/**
 * An upstream that is attached to its colocated node.
 *
 * @param id its id
 * @param service the service it serves
 * @param port the connection to it
 * @param start identifies the start of the upstream, {@link StartNotices#UNKNOWN_START} if that isn't known
 * @param onLeaving runs once if the upstream states in an answer that it is leaving
 */
public record Attachment(String id, String service, UpstreamPort port, long start, Runnable onLeaving) {
    /**
     * Creates an attachment of an unknown start.
     *
     * @param id its id
     * @param service the service it serves
     * @param port the connection to it
     * @return the attachment
     */
    public static Attachment of(String id, String service, UpstreamPort port) {
        return new Attachment(id, service, port, StartNotices.UNKNOWN_START, () -> {});
    }

    Attachment withId(String newId) {
        return new Attachment(newId, service, port, start, onLeaving);
    }
}
