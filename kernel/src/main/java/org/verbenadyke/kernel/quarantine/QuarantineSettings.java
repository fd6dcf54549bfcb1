package org.verbenadyke.kernel.quarantine;

/**
 * When a request is taken for one that crashes servers, and how long it is quarantined.
 *
 * @param quarantineThreshold from how many crashes on a request is quarantined
 * @param soleSuspectThreshold from how many crashes on a request runs at no upstream together with another
 *     suspect
 * @param quarantineNanos how long a request is quarantined after the crash that reached the threshold, in nanoseconds
 * @param backoffFactor the factor by which the quarantine time grows with each further crash
 * @param maxQuarantineNanos the maximum quarantine time, in nanoseconds
 * @param trialTurnNanos how long one upstream may try a quarantined request before it is the next upstream's turn, in
 *     nanoseconds
 * @param retentionNanos how long crashes are kept after the newest of them, or after the quarantine time, in
 *     nanoseconds
 * @param maxCrashes how many crashes a node keeps
 */
public record QuarantineSettings(
        int quarantineThreshold,
        int soleSuspectThreshold,
        long quarantineNanos,
        int backoffFactor,
        long maxQuarantineNanos,
        long trialTurnNanos,
        long retentionNanos,
        int maxCrashes) {
    private static final long SECOND = 1_000_000_000L;

    /**
     * The operators accept three crashes per request. One crash proves nothing, as some dozen other requests are in
     * flight at each crash; two crashes in a row are common among those, as they are retried together with the request
     * that crashes servers.
     */
    private static final int DEFAULT_QUARANTINE_THRESHOLD = 3;

    private static final int DEFAULT_SOLE_SUSPECT_THRESHOLD = 2;

    /**
     * A failed trial costs an upstream for some four seconds, for a restart and a cold start. One failed trial every
     * twenty seconds costs a service of four upstreams a twentieth of its capacity. A request quarantined by mistake
     * waits that long.
     */
    private static final long DEFAULT_QUARANTINE_SECONDS = 20;

    /** Trials after 20, 80 and 320 s: two in the first two minutes, three in the first seven. */
    private static final int DEFAULT_BACKOFF_FACTOR = 4;

    /** A repaired upstream is noticed within ten minutes. */
    private static final long DEFAULT_MAX_QUARANTINE_SECONDS = 600;

    /** Several times the run time of a request: a trial that begins at the end of a turn may overlap the next one. */
    private static final long DEFAULT_TRIAL_TURN_SECONDS = 1;

    private static final long DEFAULT_RETENTION_SECONDS = 600;

    /**
     * The requests in flight at some forty upstreams of a hundred slots that crash at once; some 200 bytes each, 0.8
     * MB.
     */
    private static final int DEFAULT_MAX_CRASHES = 4_096;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static QuarantineSettings standard() {
        return new QuarantineSettings(
                DEFAULT_QUARANTINE_THRESHOLD,
                DEFAULT_SOLE_SUSPECT_THRESHOLD,
                DEFAULT_QUARANTINE_SECONDS * SECOND,
                DEFAULT_BACKOFF_FACTOR,
                DEFAULT_MAX_QUARANTINE_SECONDS * SECOND,
                DEFAULT_TRIAL_TURN_SECONDS * SECOND,
                DEFAULT_RETENTION_SECONDS * SECOND,
                DEFAULT_MAX_CRASHES);
    }

    /** Returns how long a request is quarantined after the newest of its uncleared crashes. */
    long quarantineNanosAfter(int crashes) {
        long nanos = quarantineNanos;
        for (int i = quarantineThreshold; i < crashes && nanos < maxQuarantineNanos; i++) {
            nanos *= backoffFactor;
        }
        return Math.min(nanos, maxQuarantineNanos);
    }
}
