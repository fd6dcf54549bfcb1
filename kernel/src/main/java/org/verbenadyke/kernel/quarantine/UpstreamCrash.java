package org.verbenadyke.kernel.quarantine;

/**
 * An upstream that ended while it had a request. Two reports of the same request and the same upstream are one.
 *
 * @param request what the request asks for
 * @param upstream the id of the upstream's start that ended
 * @param cleared whether the request has been answered since, so that it was not the cause
 * @param atNanos when the upstream ended, on the local clock in nanoseconds
 * @param reportedBy the node that told this one, empty for what was seen here
 */
public record UpstreamCrash(RequestDigest request, String upstream, boolean cleared, long atNanos, String reportedBy) {
    UpstreamCrash clear() {
        return new UpstreamCrash(request, upstream, true, atNanos, reportedBy);
    }
}
