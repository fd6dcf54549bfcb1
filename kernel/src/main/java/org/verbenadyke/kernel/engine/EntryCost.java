package org.verbenadyke.kernel.engine;

import java.util.List;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.cost.RequestCosts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.cost.UsageSum;
import org.verbenadyke.kernel.dispatch.ChainObserver;
import org.verbenadyke.kernel.dispatch.Request;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Records the cost of one request at the node where it entered, once it has been answered completely. Attempts that
 * were retried count as well. Passes the answer on.
 */
final class EntryCost implements ChainObserver, AnswerSink {
    /** The status from which on an answer reports a failure of the upstream. */
    private static final int SERVER_ERROR = 500;

    private final Request request;
    private final RequestCosts costs;
    private final TimerService timers;
    private final AnswerSink sink;
    private final UsageSum used = UsageSum.empty();
    private boolean failed;

    private EntryCost(Request request, RequestCosts costs, TimerService timers, AnswerSink sink) {
        this.request = request;
        this.costs = costs;
        this.timers = timers;
        this.sink = sink;
    }

    /** Creates the recorder of a request whose answer goes to a sink. */
    static EntryCost of(Request request, RequestCosts costs, TimerService timers, AnswerSink sink) {
        return new EntryCost(request, costs, timers, sink);
    }

    @Override
    public void serviceReached(String service) {
        // No calling node to report to.
    }

    @Override
    public void childFailed() {
        // No calling node to report to.
    }

    @Override
    public boolean collectsUsage() {
        return true;
    }

    @Override
    public void usageReported(Usage usage) {
        used.add(usage);
    }

    @Override
    public void head(int status, List<HeaderField> headers) {
        failed = status >= SERVER_ERROR;
        sink.head(status, headers);
    }

    @Override
    public void data(byte[] bytes) {
        sink.data(bytes);
    }

    @Override
    public void end() {
        if (!failed) {
            costs.record(
                    request.service(),
                    request.pathClass(),
                    request.importance(),
                    request.idempotent(),
                    used.total(),
                    timers.nanos());
        }
        sink.end();
    }

    @Override
    public void refused(Refusal refusal) {
        sink.refused(refusal);
    }

    @Override
    public void aborted() {
        sink.aborted();
    }
}
