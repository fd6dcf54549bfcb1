package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.core.CoreParts;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Place;
import org.verbenadyke.wire.ConfigCodec;
import org.verbenadyke.wire.MemberCodec;

/**
 * One node of the lab: the real decision logic on fake time and a fake net.
 */
final class LabNode implements VirtualNet.Host {
    private final Endpoint endpoint;
    private final NodeTimers process;
    private final Counters counters = Counters.create();
    private final NodeCore core;

    private LabNode(
            String id,
            long incarnation,
            Endpoint endpoint,
            Place place,
            List<Endpoint> seeds,
            NodeTimers process,
            VirtualNet net,
            LogService log,
            RandomGenerator random,
            CoreSettings settings,
            Consumer<Breach> breaches) {
        this.endpoint = endpoint;
        this.process = process;
        net.attach(endpoint, this);
        MemberRecord self = new MemberRecord(
                id, incarnation, 0, MemberState.ALIVE, endpoint, endpoint, place, "", process.wallMillis(), 0);
        this.core = NodeCore.start(
                new CoreParts(
                        self,
                        seeds,
                        process,
                        net.transport(endpoint),
                        (to, message) -> net.datagram(endpoint, to, message),
                        log,
                        MemberCodec.create(),
                        ConfigCodec.create(),
                        () -> random,
                        counters,
                        Ledger.watching(breaches)),
                settings);
    }

    static LabNode start(
            String id,
            long incarnation,
            Endpoint endpoint,
            Place place,
            List<Endpoint> seeds,
            NodeTimers process,
            VirtualNet net,
            LogService log,
            RandomGenerator random,
            CoreSettings settings,
            Consumer<Breach> breaches) {
        return new LabNode(id, incarnation, endpoint, place, seeds, process, net, log, random, settings, breaches);
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
    public NodeTimers process() {
        return process;
    }

    @Override
    public Transport.Handler accept() {
        return core.engine().accept();
    }

    @Override
    public void datagram(Endpoint from, GossipMessage message) {
        core.received(from, message);
    }
}
