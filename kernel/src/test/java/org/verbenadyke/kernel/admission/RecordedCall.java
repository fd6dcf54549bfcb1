package org.verbenadyke.kernel.admission;

import java.util.List;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;

/**
 * A call that records its outcome.
 *
 * @param log where the outcome is recorded
 * @param name names the call in the log, and identifies its request
 * @param importance its importance
 * @param depth its depth in the call chain
 * @param deadlineNanos its deadline
 */
record RecordedCall(List<String> log, String name, Importance importance, int depth, long deadlineNanos)
        implements WaitingCall {
    @Override
    public int rank() {
        return importance.rank(new RequestId(1, name.hashCode()), false);
    }

    @Override
    public void admitted() {
        log.add(name + " admitted");
    }

    @Override
    public void shed(RefusalReason reason) {
        log.add(name + " " + reason);
    }
}
