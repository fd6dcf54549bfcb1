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
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * An upstream of the lab: slots, its own short queue, service time, sheds, failures; honours deadlines and cancellation
 * and calls other services through the node beside it.
 */
final class FakeUpstream implements UpstreamPort {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int FRAGMENT = 16 * 1024;
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final int BELOW_FAILED = 502;
    private static final int SHED = 503;
    private static final int TOO_LATE = 504;
    private static final long RUSH_NANOS = 100_000L;

    private final ServiceSpec spec;
    private final NodeTimers process;
    private final RandomGenerator random;
    private final Effects effects;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final List<Work> active = new ArrayList<>();
    private LabNode node;
    private int queueMost;
    private int busy;
    private double slow = 1;
    private double failShare;
    private boolean unbounded;

    FakeUpstream(ServiceSpec spec, NodeTimers process, RandomGenerator random, Effects effects) {
        this.spec = spec;
        this.process = process;
        this.random = random;
        this.effects = effects;
        this.queueMost = Math.max(4, spec.slots() / 2);
    }

    void beside(LabNode newNode) {
        node = newNode;
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

    /** Lets it queue without a bound and ignore deadlines, as in the baseline. */
    void naive() {
        unbounded = true;
        queueMost = Integer.MAX_VALUE;
    }

    boolean idle() {
        return active.isEmpty() && queue.isEmpty();
    }

    /** Ends the process: exchanges under way break. */
    void kill() {
        process.kill();
        List<Work> all = new ArrayList<>(active);
        all.addAll(queue);
        active.clear();
        queue.clear();
        all.forEach(w -> w.tell(w.listener::upstreamCrashed));
    }

    boolean killed() {
        return process.killed();
    }

    /**
     * Takes notice that the node beside it is gone: works on without anybody to answer to, and the calls that it made
     * through the node have failed.
     */
    void nodeLost() {
        queue.forEach(Work::abandon);
        for (Work w : List.copyOf(active)) {
            List.copyOf(w.calling).forEach(c -> process.after(RUSH_NANOS, c::aborted));
            w.abandon();
        }
    }

    @Override
    public Exchange start(HandOver handOver, Listener listener) {
        Work work = new Work(handOver, listener);
        if (process.killed()) {
            work.tell(listener::unreachable);
            return work;
        }
        process.after(RUSH_NANOS, () -> arrive(work));
        return work;
    }

    private void arrive(Work work) {
        if (work.ended) {
            return;
        }
        if (busy < spec.slots()) {
            begin(work);
        } else if (queue.size() < queueMost) {
            queue.add(work);
        } else {
            work.answer(SHED, "");
        }
    }

    private void begin(Work work) {
        busy++;
        work.holds = true;
        active.add(work);
        double mean = spec.serviceMillis() * slow;
        long time = (long) (mean * (0.75 + random.nextDouble() / 2) * NANOS_PER_MILLI);
        if (!unbounded && process.nanos() + time > work.deadline) {
            work.answer(TOO_LATE, "");
            return;
        }
        effects.run(spec.name(), work.id());
        if (work.operation.once()) {
            effects.started(work.id(), work.whereAndWhen());
        }
        if (random.nextDouble() < failShare) {
            process.after(time / 4, () -> work.answer(FAILED, ""));
            return;
        }
        process.after(time, () -> work.callBelow(0, ""));
    }

    private void next() {
        busy--;
        Work w = queue.poll();
        if (w != null) {
            begin(w);
        }
    }

    /**
     * One call at work.
     */
    private final class Work implements Exchange {
        private final LabNode from = node;
        private final HandOver handOver;
        private final Listener listener;
        private final Operation operation;
        private final long deadline;
        private final List<CallHandle> below = new ArrayList<>();
        private final Set<Collected> calling = new LinkedHashSet<>();
        private boolean holds;
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

        String whereAndWhen() {
            return from.core().self().upstreamId() + " at " + process.nanos() / Lab.MILLI;
        }

        void callBelow(int index, String before) {
            if (ended) {
                return;
            }
            if (operation.parallel() && index == 0 && !operation.calls().isEmpty()) {
                callAll();
                return;
            }
            if (index == operation.calls().size()) {
                if (operation.once()) {
                    effects.effect(id(), whereAndWhen());
                }
                answer(OK, before);
                return;
            }
            call(operation.calls().get(index), result -> {
                if (result.isEmpty()) {
                    answer(BELOW_FAILED, "");
                } else {
                    callBelow(index + 1, before + result.get());
                }
            });
        }

        private void callAll() {
            int n = operation.calls().size();
            String[] results = new String[n];
            int[] open = {n};
            for (int i = 0; i < n; i++) {
                int at = i;
                call(operation.calls().get(i), result -> {
                    results[at] = result.orElse(null);
                    if (--open[0] == 0) {
                        boolean failed = false;
                        StringBuilder all = new StringBuilder();
                        for (String r : results) {
                            failed |= r == null;
                            all.append(r);
                        }
                        answer(failed ? BELOW_FAILED : OK, failed ? "" : all.toString());
                    }
                });
            }
        }

        private void call(String target, Consumer<Optional<String>> taker) {
            String service = target.substring(0, target.indexOf('/'));
            String path = target.substring(target.indexOf('/')) + "?id=" + id();
            InboundRequest inbound = new InboundRequest(
                    service, new Message.Content("GET", path, List.of(), new byte[0]), "", Optional.empty());
            Collected sink = new Collected(this, taker);
            calling.add(sink);
            if (node.process().killed()) {
                process.after(RUSH_NANOS, sink::aborted);
                return;
            }
            node.process()
                    .run(() -> node.core()
                            .engine()
                            .submitNested(handOver.contextToken(), inbound, sink)
                            .ifPresent(h -> {
                                sink.steer(h);
                                below.add(h);
                            }));
        }

        void answer(int status, String text) {
            if (ended) {
                return;
            }
            String words = spec.name() + "/" + operation.name() + "?id=" + id() + "(" + text + ")";
            body = status == OK ? words.getBytes(StandardCharsets.UTF_8) : new byte[0];
            if (status == OK && operation.bytes() > 0) {
                body = Arrays.copyOf(body, operation.bytes());
            }
            if (abandoned || from.process().killed()) {
                finish();
                return;
            }
            tell(() -> listener.head(status, List.of(new HeaderField("content-type", "text/plain"))));
        }

        @Override
        public void request() {
            process.after(RUSH_NANOS, () -> {
                if (ended || body == null) {
                    return;
                }
                int n = Math.min(FRAGMENT, body.length - sent);
                if (n > 0) {
                    byte[] part = Arrays.copyOfRange(body, sent, sent + n);
                    sent += n;
                    tell(() -> listener.data(part));
                }
                if (sent == body.length) {
                    finish();
                    tell(listener::end);
                }
            });
        }

        @Override
        public void cancel() {
            if (unbounded) {
                process.after(RUSH_NANOS, this::abandon);
                return;
            }
            process.after(RUSH_NANOS, () -> {
                if (!ended) {
                    queue.remove(this);
                    below.forEach(CallHandle::cancel);
                    finish();
                }
            });
        }

        /** Works on for nobody, as an upstream does that isn't told. */
        private void abandon() {
            abandoned = true;
            if (body != null && !ended) {
                finish();
            }
        }

        private void finish() {
            ended = true;
            active.remove(this);
            if (holds) {
                holds = false;
                next();
            }
        }

        private void tell(Runnable news) {
            from.process().after(RUSH_NANOS, news);
        }
    }

    /**
     * Collects the answer of a call below.
     */
    private final class Collected extends CollectingSink {
        private final Work work;
        private final Consumer<Optional<String>> taker;

        private Collected(Work work, Consumer<Optional<String>> taker) {
            this.work = work;
            this.taker = taker;
        }

        @Override
        public void end() {
            done(status() == OK ? Optional.of(text()) : Optional.empty());
        }

        @Override
        public void refused(Refusal refusal) {
            done(Optional.empty());
        }

        @Override
        public void aborted() {
            done(Optional.empty());
        }

        private void done(Optional<String> result) {
            if (!work.calling.remove(this)) {
                return;
            }
            process.run(() -> taker.accept(result));
        }
    }
}
