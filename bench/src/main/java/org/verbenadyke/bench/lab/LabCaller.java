package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.engine.InboundRequest;
import org.verbenadyke.kernel.message.Message;

/**
 * The callers of the lab: each sends one request to a node and checks the whole answer.
 */
final class LabCaller {
    private static final int OK = 200;
    private static final long CLIENT_NANOS = 1_000_000L;

    private final Lab lab;
    private final Map<String, ServiceSpec> services = new TreeMap<>();

    LabCaller(Lab lab) {
        this.lab = lab;
        lab.servers().forEach(s -> services.put(s.spec().name(), s.spec()));
    }

    /** Sends a request; the taker is told once, unless the entry node dies. */
    void send(LabRequest kind, String id, String key, long ttlNanos, LabServer entry, Consumer<LabAnswer> taker) {
        String service = kind.target().substring(0, kind.target().indexOf('/'));
        String path = kind.target().substring(kind.target().indexOf('/')) + "?id=" + id;
        Message.Content content = new Message.Content(kind.once() ? "POST" : "GET", path, List.of(), new byte[0]);
        InboundRequest inbound = new InboundRequest(service, content, key, Optional.of(ttlNanos));
        String expected = expected(kind.target(), id);
        Sink sink = new Sink(
                expected,
                operation(kind.target()).bytes(),
                answer -> lab.world().after(CLIENT_NANOS, () -> taker.accept(answer)));
        LabNode node = entry.node();
        lab.world()
                .after(
                        CLIENT_NANOS,
                        () -> node.process()
                                .run(() -> sink.steer(node.core().engine().submit(inbound, sink))));
    }

    private Operation operation(String target) {
        return services.get(target.substring(0, target.indexOf('/')))
                .operations()
                .get(target.substring(target.indexOf('/') + 1));
    }

    private String expected(String target, String id) {
        String service = target.substring(0, target.indexOf('/'));
        StringBuilder below = new StringBuilder();
        for (String call : operation(target).calls()) {
            below.append(expected(call, id));
        }
        return service + target.substring(target.indexOf('/')) + "?id=" + id + "(" + below + ")";
    }

    /**
     * Checks one answer.
     */
    private static final class Sink extends CollectingSink {
        private final String expected;
        private final int bytes;
        private final Consumer<LabAnswer> taker;

        private Sink(String expected, int bytes, Consumer<LabAnswer> taker) {
            this.expected = expected;
            this.bytes = bytes;
            this.taker = taker;
        }

        @Override
        public void end() {
            if (status() != OK) {
                taker.accept(new LabAnswer.Failed(status()));
                return;
            }
            boolean whole =
                    bytes == 0 ? text().equals(expected) : text().length() == bytes && text().startsWith(expected);
            taker.accept(whole ? new LabAnswer.Whole() : new LabAnswer.Wrong(text()));
        }

        @Override
        public void refused(Refusal refusal) {
            taker.accept(new LabAnswer.Refused(refusal));
        }

        @Override
        public void aborted() {
            taker.accept(new LabAnswer.CutShort());
        }
    }
}
