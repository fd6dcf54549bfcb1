package org.verbenadyke.kernel.quarantine;

/**
 * A crash of an upstream at which a request was in flight. Two reports of the same request and upstream are one crash.
 *
 * @param request the digest of the request
 * @param upstream the id of the upstream that crashed, with a number if it has crashed before under the same id
 * @param cleared whether the request has been answered since, so that it did not cause the crash
 * @param crashedNanos when the upstream crashed, on the local clock in nanoseconds
 * @param reportedBy the node that reported the crash, empty if it was observed here
 */
public record UpstreamCrash(
        RequestDigest request, String upstream, boolean cleared, long crashedNanos, String reportedBy) {
    UpstreamCrash asCleared() {
        return new UpstreamCrash(request, upstream, true, crashedNanos, reportedBy);
    }
}
