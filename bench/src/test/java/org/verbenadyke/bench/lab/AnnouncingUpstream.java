package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * One process of an upstream that states something about itself in its answers. It outlives restarts of its node, each
 * of which opens a port of its own.
 */
final class AnnouncingUpstream {
    private final Map<String, FleetOperation> operations;
    private final RandomGenerator random;
    private final UpstreamStatement statement;

    AnnouncingUpstream(UpstreamStatement statement, Map<String, FleetOperation> operations, RandomGenerator random) {
        this.operations = operations;
        this.random = random;
        this.statement = statement;
    }

    UpstreamStatement statement() {
        return statement;
    }

    /** Opens a port for the calls that a node hands over. */
    UpstreamPort portAt(LabNode node) {
        FleetUpstream worker = new FleetUpstream(node, operations, random, 1);
        return (handOver, listener) -> {
            statement.arrived(handOver.content().headers(), node.process().nanos());
            return worker.start(handOver, new StatingListener(listener));
        };
    }

    /** Adds to each answer what the process states about itself. */
    private final class StatingListener implements UpstreamPort.Listener {
        private final UpstreamPort.Listener inner;

        private StatingListener(UpstreamPort.Listener inner) {
            this.inner = inner;
        }

        @Override
        public void notRun() {
            inner.notice(statement.notice());
            inner.notRun();
        }

        @Override
        public void unreachable() {
            inner.unreachable();
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            inner.notice(statement.notice());
            inner.head(status, statement.fields(headers));
        }

        @Override
        public void data(byte[] bytes) {
            inner.data(bytes);
        }

        @Override
        public void end() {
            inner.end();
        }

        @Override
        public void broken() {
            inner.broken();
        }
    }
}
