package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.engine.RoutedRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.serve.CallContext;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * An upstream that accepts every call, works for a random time at its own speed, makes nested calls through its
 * colocated node, and fails when a nested call fails.
 */
final class FleetUpstream implements UpstreamPort {
    private static final int OK = 200;
    private static final int FAILED = 500;

    private final LabNode node;
    private final Map<String, FleetOperation> operations;
    private final RandomGenerator random;
    private final double speed;
    private final Statements statements;
    private final WorkLog workLog;
    private final RetryAudit audit;

    FleetUpstream(LabNode node, Map<String, FleetOperation> operations, RandomGenerator random, double speed) {
        this(node, operations, random, speed, new Statements(), new WorkLog(), new RetryAudit());
    }

    FleetUpstream(
            LabNode node,
            Map<String, FleetOperation> operations,
            RandomGenerator random,
            double speed,
            Statements statements,
            WorkLog workLog,
            RetryAudit audit) {
        this.statements = statements;
        this.workLog = workLog;
        this.audit = audit;
        this.node = node;
        this.operations = operations;
        this.random = random;
        this.speed = speed;
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(handOver, listener);
        work.workHalf(work.run.outcome() == Outcome.REJECTED ? work::reject : work::startNestedCalls);
        return work;
    }

    /**
     * What becomes of a run.
     */
    enum Outcome {
        /** It is answered. */
        ANSWERED,
        /** It is answered with a failure at its end. */
        FAILED,
        /** Its answer is lost. */
        LOST,
        /** It is refused as not run. */
        REJECTED
    }

    /**
     * One running call: spends half of its own time before its nested calls and half after them.
     */
    private final class Work implements Exchange {
        private final HandOver handOver;
        private final Listener listener;
        private final FleetOperation operation;
        private final RetryAudit.Run run;
        private final long startNanos = node.process().nanos();
        private final long deadline;
        private int answered;
        private boolean headSent;
        private boolean ended;

        private Work(HandOver handOver, Listener listener) {
            this.handOver = handOver;
            this.listener = listener;
            String path = handOver.content().path();
            this.operation = operations.get(path.split("/")[1]);
            this.run = audit.arrived(operation.service(), path, startNanos);
            this.deadline = startNanos + handOver.remainingNanos();
        }

        void workHalf(Runnable then) {
            double half = operation.workMillis() / 2 / speed * (0.5 + random.nextDouble());
            node.process().after((long) (half * Lab.MILLI), () -> {
                if (!ended) {
                    then.run();
                }
            });
        }

        private void startNestedCalls() {
            if (operation.nestedCalls().isEmpty()) {
                workHalf(() -> answer(OK));
                return;
            }
            int initialCalls = operation.parallel() ? operation.nestedCalls().size() : 1;
            for (int i = 0; i < initialCalls; i++) {
                call(operation.nestedCalls().get(i));
            }
        }

        private void call(FleetOperation nested) {
            Optional<CallContext> parent = node.core().engine().server().context(handOver.contextToken());
            if (parent.isEmpty()) {
                return;
            }
            long left = Math.min(deadline - node.process().nanos(), nested.timeoutMillis() * Lab.MILLI);
            Message.Content content = new Message.Content(
                    "GET",
                    audit.pathOfCall(nested, run),
                    List.of(new HeaderField(
                            UpstreamStatement.SENT_BY, node.core().self().nodeId())),
                    new byte[0]);
            RoutedRequest routed =
                    new RoutedRequest(nested.route(), nested.service(), content, Importance.NORMAL, parent, left, 0);
            node.core().engine().submit(routed, new NestedCallSink());
        }

        private void nestedCallEnded(boolean succeeded) {
            if (ended || headSent) {
                return;
            }
            answered++;
            if (!succeeded) {
                answer(FAILED);
            } else if (answered == operation.nestedCalls().size()) {
                workHalf(() -> answer(OK));
            } else if (!operation.parallel()) {
                call(operation.nestedCalls().get(answered));
            }
        }

        private void reject() {
            ended = true;
            listener.notRun();
        }

        private void answer(int status) {
            if (run.outcome() == Outcome.LOST) {
                ended = true;
                listener.broken();
                return;
            }
            headSent = true;
            workLog.record(
                    handOver.request(), operation.service(), node.process().nanos() - startNanos);
            listener.head(
                    run.outcome() == Outcome.FAILED ? FAILED : status, List.of(new HeaderField("content-length", "0")));
        }

        @Override
        public void request() {
            if (headSent && !ended) {
                ended = true;
                listener.end();
            }
        }

        @Override
        public void cancel() {
            ended = true;
        }

        /**
         * Receives the answer of a nested call.
         */
        private final class NestedCallSink implements AnswerSink {
            private int status;

            @Override
            public void head(int newStatus, List<HeaderField> headers) {
                status = newStatus;
                statements.relayed(
                        headers, node.core().self().nodeId(), node.process().nanos());
            }

            @Override
            public void data(byte[] bytes) {
                // Only the status counts.
            }

            @Override
            public void end() {
                nestedCallEnded(status == OK);
            }

            @Override
            public void refused(Refusal refusal) {
                nestedCallEnded(false);
            }

            @Override
            public void aborted() {
                nestedCallEnded(false);
            }
        }
    }
}
