package org.verbenadyke.bench.lab;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.engine.InboundRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * An emulated upstream with slots, a short queue of its own, service times, shedding and failures. Honours deadlines
 * and cancellation, and calls other services through its colocated node.
 */
final class FakeUpstream implements UpstreamPort {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int FRAGMENT = 16 * 1024;
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final int NESTED_CALL_FAILED = 502;
    private static final int SHED = 503;
    private static final int TOO_LATE = 504;
    private static final long LOCAL_LATENCY_NANOS = 100_000L;

    private final ServiceSpec spec;
    private final ProcessTimers process;
    private final RandomGenerator random;
    private final Effects effects;
    private final Statements statements;
    private final UpstreamStatement statement;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final List<Work> active = new ArrayList<>();
    private LabNode node;
    private int maxQueue;
    private int busy;
    private double slow = 1;
    private double failShare;
    private boolean unbounded;

    FakeUpstream(
            LabServer server, ProcessTimers process, RandomGenerator random, Effects effects, Statements statements) {
        this.spec = server.spec();
        this.statements = statements;
        this.statement = statements.open(server.id());
        this.process = process;
        this.random = random;
        this.effects = effects;
        this.maxQueue = Math.max(4, spec.slots() / 2);
    }

    void colocateWith(LabNode newNode) {
        node = newNode;
    }

    /** Returns what the process states about itself in its answers. */
    UpstreamStatement statement() {
        return statement;
    }

    ServiceSpec spec() {
        return spec;
    }

    void slow(double factor) {
        slow = factor;
    }

    void failShare(double share) {
        failShare = share;
    }

    /** Makes the upstream queue without a bound and ignore deadlines and cancellation, as in the baseline. */
    void naive() {
        unbounded = true;
        maxQueue = Integer.MAX_VALUE;
    }

    boolean idle() {
        return active.isEmpty() && queue.isEmpty();
    }

    /** Kills the process; the exchanges in flight fail. */
    void kill() {
        process.kill();
        List<Work> all = new ArrayList<>(active);
        all.addAll(queue);
        active.clear();
        queue.clear();
        all.forEach(w -> w.notifyNode(w.listener::upstreamCrashed));
    }

    boolean killed() {
        return process.killed();
    }

    /**
     * Handles the crash of the colocated node: requests in progress run on but their answers are discarded, and the
     * nested calls made through the node fail.
     */
    void nodeLost() {
        queue.forEach(Work::abandon);
        for (Work w : List.copyOf(active)) {
            List.copyOf(w.pendingSinks).forEach(c -> process.after(LOCAL_LATENCY_NANOS, c::aborted));
            w.abandon();
        }
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(handOver, listener);
        if (process.killed()) {
            work.notifyNode(listener::unreachable);
            return work;
        }
        process.after(LOCAL_LATENCY_NANOS, () -> arrive(work));
        return work;
    }

    private void arrive(Work work) {
        if (work.ended) {
            return;
        }
        statement.arrived(work.handOver.content().headers(), process.nanos());
        if (busy < spec.slots()) {
            begin(work);
        } else if (queue.size() < maxQueue) {
            queue.add(work);
        } else {
            work.answer(SHED, "");
        }
    }

    private void begin(Work work) {
        busy++;
        work.holdsSlot = true;
        active.add(work);
        double mean = spec.serviceMillis() * slow;
        long time = (long) (mean * (0.75 + random.nextDouble() / 2) * NANOS_PER_MILLI);
        if (!unbounded && process.nanos() + time > work.deadline) {
            work.answer(TOO_LATE, "");
            return;
        }
        effects.recordRun(spec.name(), work.id());
        if (work.operation.once()) {
            effects.recordStart(work.id(), work.serverAndTime());
        }
        if (random.nextDouble() < failShare) {
            process.after(time / 4, () -> work.answer(FAILED, ""));
            return;
        }
        process.after(time, () -> work.callNext(0, ""));
    }

    private void releaseSlot() {
        busy--;
        Work w = queue.poll();
        if (w != null) {
            begin(w);
        }
    }

    /**
     * One call that is queued or running.
     */
    private final class Work implements Exchange {
        private final LabNode startedUnder = node;
        private final HandOver handOver;
        private final Listener listener;
        private final Operation operation;
        private final long deadline;
        private final List<CallHandle> nestedCalls = new ArrayList<>();
        private final Set<NestedCallSink> pendingSinks = new LinkedHashSet<>();
        private boolean holdsSlot;
        private boolean ended;
        private boolean abandoned;
        private byte[] body;
        private int sent;

        private Work(HandOver handOver, Listener listener) {
            this.handOver = handOver;
            this.listener = listener;
            String path = handOver.content().path();
            this.operation = spec.operations().get(path.substring(1, path.indexOf('?')));
            this.deadline = process.nanos() + handOver.remainingNanos();
        }

        String id() {
            String path = handOver.content().path();
            return path.substring(path.indexOf("id=") + 3);
        }

        String serverAndTime() {
            return startedUnder.core().self().upstreamId() + " at " + process.nanos() / Lab.MILLI;
        }

        void callNext(int index, String collected) {
            if (ended) {
                return;
            }
            if (operation.parallel() && index == 0 && !operation.calls().isEmpty()) {
                callInParallel();
                return;
            }
            if (index == operation.calls().size()) {
                if (operation.once()) {
                    effects.recordEffect(id(), serverAndTime());
                }
                answer(OK, collected);
                return;
            }
            call(operation.calls().get(index), result -> {
                if (result.isEmpty()) {
                    answer(NESTED_CALL_FAILED, "");
                } else {
                    callNext(index + 1, collected + result.get());
                }
            });
        }

        private void callInParallel() {
            int n = operation.calls().size();
            String[] results = new String[n];
            int[] pending = {n};
            for (int i = 0; i < n; i++) {
                int index = i;
                call(operation.calls().get(i), result -> {
                    results[index] = result.orElse(null);
                    if (--pending[0] == 0) {
                        boolean failed = false;
                        StringBuilder all = new StringBuilder();
                        for (String r : results) {
                            failed |= r == null;
                            all.append(r);
                        }
                        answer(failed ? NESTED_CALL_FAILED : OK, failed ? "" : all.toString());
                    }
                });
            }
        }

        private void call(String target, Consumer<Optional<String>> callback) {
            String service = target.substring(0, target.indexOf('/'));
            String path = target.substring(target.indexOf('/')) + "?id=" + id();
            InboundRequest inbound = new InboundRequest(
                    service, new Message.Content("GET", path, LabNode.sentBy(node), new byte[0]), "", Optional.empty());
            NestedCallSink sink = new NestedCallSink(this, callback);
            pendingSinks.add(sink);
            if (node.process().killed()) {
                process.after(LOCAL_LATENCY_NANOS, sink::aborted);
                return;
            }
            node.process()
                    .run(() -> node.core()
                            .engine()
                            .submitNested(handOver.contextToken(), inbound, sink)
                            .ifPresent(h -> {
                                sink.setHandle(h);
                                nestedCalls.add(h);
                            }));
        }

        void answer(int status, String text) {
            if (ended) {
                return;
            }
            String answer = spec.name() + "/" + operation.name() + "?id=" + id() + "(" + text + ")";
            body = status == OK ? answer.getBytes(StandardCharsets.UTF_8) : new byte[0];
            if (status == OK && operation.bytes() > 0) {
                body = Arrays.copyOf(body, operation.bytes());
            }
            if (abandoned || startedUnder.process().killed()) {
                finish();
                return;
            }
            UpstreamNotice notice = statement.notice();
            List<HeaderField> fields = statement.fields(List.of(new HeaderField("content-type", "text/plain")));
            notifyNode(() -> {
                listener.notice(notice);
                listener.head(status, fields);
            });
        }

        @Override
        public void request() {
            process.after(LOCAL_LATENCY_NANOS, () -> {
                if (ended || body == null) {
                    return;
                }
                int n = Math.min(FRAGMENT, body.length - sent);
                if (n > 0) {
                    byte[] part = Arrays.copyOfRange(body, sent, sent + n);
                    sent += n;
                    notifyNode(() -> listener.data(part));
                }
                if (sent == body.length) {
                    finish();
                    notifyNode(listener::end);
                }
            });
        }

        @Override
        public void cancel() {
            if (unbounded) {
                process.after(LOCAL_LATENCY_NANOS, this::abandon);
                return;
            }
            process.after(LOCAL_LATENCY_NANOS, () -> {
                if (!ended) {
                    queue.remove(this);
                    nestedCalls.forEach(CallHandle::cancel);
                    finish();
                }
            });
        }

        /** Keeps the call running but discards its answer, as an upstream does that misses the cancellation. */
        private void abandon() {
            abandoned = true;
            if (body != null && !ended) {
                finish();
            }
        }

        private void finish() {
            ended = true;
            active.remove(this);
            if (holdsSlot) {
                holdsSlot = false;
                releaseSlot();
            }
        }

        private void notifyNode(Runnable event) {
            startedUnder.process().after(LOCAL_LATENCY_NANOS, event);
        }
    }

    /**
     * Collects the answer of a nested call.
     */
    private final class NestedCallSink extends CollectingSink {
        private final Work work;
        private final Consumer<Optional<String>> callback;

        private NestedCallSink(Work work, Consumer<Optional<String>> callback) {
            this.work = work;
            this.callback = callback;
        }

        @Override
        public void head(int newStatus, List<HeaderField> headers) {
            super.head(newStatus, headers);
            statements.relayed(headers, LabNode.identity(work.startedUnder), process.nanos());
        }

        @Override
        public void end() {
            complete(status() == OK ? Optional.of(text()) : Optional.empty());
        }

        @Override
        public void refused(Refusal refusal) {
            complete(Optional.empty());
        }

        @Override
        public void aborted() {
            complete(Optional.empty());
        }

        private void complete(Optional<String> result) {
            if (!work.pendingSinks.remove(this)) {
                return;
            }
            process.run(() -> callback.accept(result));
        }
    }
}
