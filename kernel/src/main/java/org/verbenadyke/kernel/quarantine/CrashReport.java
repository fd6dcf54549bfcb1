package org.verbenadyke.kernel.quarantine;

import java.util.List;

/**
 * One node's report of a crash of an upstream.
 *
 * @param upstream the id of the start of the upstream that crashed
 * @param cleared whether the requests have been answered since
 * @param ageMillis how long ago the upstream crashed, in milliseconds
 * @param requests the requests in flight at the crash
 */
public record CrashReport(String upstream, boolean cleared, int ageMillis, List<RequestDigest> requests) {}
