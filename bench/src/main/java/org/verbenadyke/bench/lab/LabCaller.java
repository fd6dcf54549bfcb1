package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.engine.InboundRequest;
import org.verbenadyke.kernel.message.Message;

/**
 * Emulated callers: each sends one request to a node and checks the complete answer.
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

    /** Sends a request; the callback is called once, unless the entry node crashes. */
    void send(LabRequest kind, String id, String key, long ttlNanos, LabServer entry, Consumer<LabAnswer> callback) {
        String service = kind.target().substring(0, kind.target().indexOf('/'));
        String path = kind.target().substring(kind.target().indexOf('/')) + "?id=" + id;
        String expected = expected(kind.target(), id);
        LabNode node = entry.node();
        CheckingSink sink = new CheckingSink(
                node,
                expected,
                operation(kind.target()).bytes(),
                answer -> lab.clock().after(CLIENT_NANOS, () -> callback.accept(answer)));
        lab.clock()
                .after(
                        CLIENT_NANOS,
                        () -> node.process().run(() -> {
                            Message.Content content = new Message.Content(
                                    kind.once() ? "POST" : "GET", path, LabNode.sentBy(node), new byte[0]);
                            InboundRequest inbound = new InboundRequest(service, content, key, Optional.of(ttlNanos));
                            sink.setHandle(node.core().engine().submit(inbound, sink));
                        }));
    }

    private Operation operation(String target) {
        return services.get(target.substring(0, target.indexOf('/')))
                .operations()
                .get(target.substring(target.indexOf('/') + 1));
    }

    private String expected(String target, String id) {
        String service = target.substring(0, target.indexOf('/'));
        StringBuilder nested = new StringBuilder();
        for (String call : operation(target).calls()) {
            nested.append(expected(call, id));
        }
        return service + target.substring(target.indexOf('/')) + "?id=" + id + "(" + nested + ")";
    }

    /**
     * Collects one answer and compares it with the expected text.
     */
    private final class CheckingSink extends CollectingSink {
        private final LabNode node;
        private final String expected;
        private final int bytes;
        private final Consumer<LabAnswer> callback;

        private CheckingSink(LabNode node, String expected, int bytes, Consumer<LabAnswer> callback) {
            this.node = node;
            this.expected = expected;
            this.bytes = bytes;
            this.callback = callback;
        }

        @Override
        public void head(int newStatus, List<HeaderField> headers) {
            super.head(newStatus, headers);
            lab.statements()
                    .relayed(headers, LabNode.identity(node), lab.clock().nanos());
        }

        @Override
        public void end() {
            if (status() != OK) {
                callback.accept(new LabAnswer.Failed(status()));
                return;
            }
            boolean whole =
                    bytes == 0 ? text().equals(expected) : text().length() == bytes && text().startsWith(expected);
            callback.accept(whole ? new LabAnswer.Whole() : new LabAnswer.Wrong(text()));
        }

        @Override
        public void refused(Refusal refusal) {
            callback.accept(new LabAnswer.Refused(refusal));
        }

        @Override
        public void aborted() {
            callback.accept(new LabAnswer.CutShort());
        }
    }
}
