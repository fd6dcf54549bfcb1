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
 * An upstream that takes what it is given, works for a while at its own speed, makes its calls through the node beside
 * it, and fails when one of them fails.
 */
final class FleetUpstream implements UpstreamPort {
    private static final int OK = 200;
    private static final int FAILED = 500;

    private final LabNode node;
    private final Map<String, FleetOperation> operations;
    private final RandomGenerator random;
    private final double speed;

    FleetUpstream(LabNode node, Map<String, FleetOperation> operations, RandomGenerator random, double speed) {
        this.node = node;
        this.operations = operations;
        this.random = random;
        this.speed = speed;
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(handOver, listener);
        work.pause(work::callBelow);
        return work;
    }

    /**
     * One call at work: half of its own time before its calls, half after them.
     */
    private final class Work implements Exchange {
        private final HandOver handOver;
        private final Listener listener;
        private final FleetOperation operation;
        private final long deadline;
        private int answered;
        private boolean headGiven;
        private boolean ended;

        private Work(HandOver handOver, Listener listener) {
            this.handOver = handOver;
            this.listener = listener;
            this.operation = operations.get(handOver.content().path().split("/")[1]);
            this.deadline = node.process().nanos() + handOver.remainingNanos();
        }

        void pause(Runnable then) {
            double half = operation.workMillis() / 2 / speed * (0.5 + random.nextDouble());
            node.process().after((long) (half * Lab.MILLI), () -> {
                if (!ended) {
                    then.run();
                }
            });
        }

        private void callBelow() {
            if (operation.below().isEmpty()) {
                pause(() -> answer(OK));
                return;
            }
            int first = operation.together() ? operation.below().size() : 1;
            for (int i = 0; i < first; i++) {
                call(operation.below().get(i));
            }
        }

        private void call(FleetOperation below) {
            Optional<CallContext> parent = node.core().engine().server().context(handOver.contextToken());
            if (parent.isEmpty()) {
                return;
            }
            long left = Math.min(deadline - node.process().nanos(), below.timeoutMillis() * Lab.MILLI);
            Message.Content content = new Message.Content("GET", "/" + below.name() + "/x", List.of(), new byte[0]);
            RoutedRequest routed =
                    new RoutedRequest(below.route(), below.service(), content, Importance.NORMAL, parent, left, 0);
            node.core().engine().submit(routed, new Below());
        }

        private void answeredBelow(boolean whole) {
            if (ended || headGiven) {
                return;
            }
            answered++;
            if (!whole) {
                answer(FAILED);
            } else if (answered == operation.below().size()) {
                pause(() -> answer(OK));
            } else if (!operation.together()) {
                call(operation.below().get(answered));
            }
        }

        private void answer(int status) {
            headGiven = true;
            listener.head(status, List.of(new HeaderField("content-length", "0")));
        }

        @Override
        public void request() {
            if (headGiven && !ended) {
                ended = true;
                listener.end();
            }
        }

        @Override
        public void cancel() {
            ended = true;
        }

        /**
         * Takes the answer of a call below.
         */
        private final class Below implements AnswerSink {
            private int status;

            @Override
            public void head(int newStatus, List<HeaderField> headers) {
                status = newStatus;
            }

            @Override
            public void data(byte[] bytes) {
                // Only the status counts.
            }

            @Override
            public void end() {
                answeredBelow(status == OK);
            }

            @Override
            public void refused(Refusal refusal) {
                answeredBelow(false);
            }

            @Override
            public void aborted() {
                answeredBelow(false);
            }
        }
    }
}
