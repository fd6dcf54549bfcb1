package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.core.CoreParts;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.trace.DecisionLog;
import org.verbenadyke.wire.ConfigCodec;
import org.verbenadyke.wire.MemberCodec;
import org.verbenadyke.wire.NodeDeparturesCodec;
import org.verbenadyke.wire.QuarantinedRequestCodec;

/**
 * One node with the production decision logic, on a virtual clock and an emulated network.
 */
final class LabNode implements VirtualNet.Host {
    private final Endpoint endpoint;
    private final ProcessTimers process;
    private final Counters counters = Counters.create();
    private NodeCore core;

    private LabNode(Endpoint endpoint, ProcessTimers process) {
        this.endpoint = endpoint;
        this.process = process;
    }

    static LabNode start(
            MemberRecord self,
            ProcessTimers process,
            VirtualNet net,
            LogService log,
            RandomGenerator random,
            CoreSettings settings,
            RoutePlanStore plans,
            Consumer<Breach> breaches) {
        Endpoint endpoint = self.endpoint();
        LabNode node = new LabNode(endpoint, process);
        net.attach(endpoint, node);
        node.core = NodeCore.start(
                new CoreParts(
                        self,
                        List.of(),
                        process,
                        net.transport(endpoint),
                        (to, message) -> net.sendDatagram(endpoint, to, message),
                        log,
                        MemberCodec.create(),
                        QuarantinedRequestCodec.create(),
                        NodeDeparturesCodec.create(),
                        ConfigCodec.create(),
                        () -> random,
                        plans,
                        node.counters,
                        Ledger.reportingTo(breaches),
                        DecisionLog.none()),
                settings);
        return node;
    }

    /** Returns a name of the process of a node, which changes when the node restarts or notices that it was paused. */
    static String identity(LabNode node) {
        return node.core().self().upstreamId();
    }

    /** Returns the field that names the node where a call begins. */
    static List<HeaderField> sentBy(LabNode node) {
        return List.of(new HeaderField(UpstreamStatement.SENT_BY, identity(node)));
    }

    Endpoint endpoint() {
        return endpoint;
    }

    NodeCore core() {
        return core;
    }

    Counters counters() {
        return counters;
    }

    @Override
    public ProcessTimers process() {
        return process;
    }

    @Override
    public Transport.Handler accept() {
        return core.engine().accept();
    }

    @Override
    public void receiveDatagram(Endpoint from, GossipMessage message) {
        core.received(from, message);
    }
}
