package org.verbenadyke.kernel.quarantine;

import java.util.List;

/**
 * What one node tells others of an upstream that ended.
 *
 * @param upstream the id of the upstream's start
 * @param cleared whether the requests have been answered since
 * @param ageMillis how long ago the upstream ended, in milliseconds
 * @param requests what it had
 */
public record CrashReport(String upstream, boolean cleared, int ageMillis, List<RequestDigest> requests) {}
