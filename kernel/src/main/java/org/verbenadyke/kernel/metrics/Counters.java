package org.verbenadyke.kernel.metrics;

import java.util.concurrent.atomic.LongAdder;

import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Repetition;

/**
 * The counters of one node. Thread-safe.
 */
public final class Counters {
    private final LongAdder[][] refusals;
    private final LongAdder[] retries;
    private final LongAdder[] events;

    private Counters() {
        refusals = new LongAdder[RunState.values().length][];
        for (int i = 0; i < refusals.length; i++) {
            refusals[i] = adders(RefusalReason.values().length);
        }
        retries = adders(RetryReason.values().length);
        events = adders(Event.values().length);
    }

    /**
     * Creates counters at zero.
     *
     * @return the counters
     */
    public static Counters create() {
        return new Counters();
    }

    /**
     * Counts a refusal given to a caller.
     *
     * @param state whether the request ran
     * @param reason why it was refused
     */
    public void refused(RunState state, RefusalReason reason) {
        refusals[state.ordinal()][reason.ordinal()].increment();
    }

    /**
     * Counts a retry that was made or denied.
     *
     * @param reason why the retry was made or denied
     */
    public void retried(RetryReason reason) {
        retries[reason.ordinal()].increment();
    }

    /**
     * Counts an event.
     *
     * @param event what happened
     */
    public void count(Event event) {
        events[event.ordinal()].increment();
    }

    /**
     * Counts a call that was passed to the upstream.
     *
     * @param repetition whether the call repeats an earlier one
     */
    public void handedOver(Repetition repetition) {
        count(Event.HANDED_OVER);
        if (repetition == Repetition.RETRY) {
            count(Event.RETRY_HANDED_OVER);
        } else if (repetition == Repetition.INHERITED) {
            count(Event.INHERITED_RETRY_HANDED_OVER);
        }
    }

    /**
     * Reads a counter.
     *
     * @param state whether the requests ran
     * @param reason why they were refused
     * @return how many refusals were given
     */
    public long refusals(RunState state, RefusalReason reason) {
        return refusals[state.ordinal()][reason.ordinal()].sum();
    }

    /**
     * Reads a counter.
     *
     * @param reason why the retries were made or denied
     * @return how many retries were made or denied
     */
    public long retries(RetryReason reason) {
        return retries[reason.ordinal()].sum();
    }

    /**
     * Reads a counter.
     *
     * @param event what happened
     * @return how often the event occurred
     */
    public long events(Event event) {
        return events[event.ordinal()].sum();
    }

    private static LongAdder[] adders(int n) {
        LongAdder[] adders = new LongAdder[n];
        for (int i = 0; i < n; i++) {
            adders[i] = new LongAdder();
        }
        return adders;
    }
}
