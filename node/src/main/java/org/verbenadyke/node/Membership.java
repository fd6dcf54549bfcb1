package org.verbenadyke.node;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.log.HttpLog;
import org.verbenadyke.node.settings.NodeSettings;
import org.verbenadyke.wire.MemberCodec;

/**
 * Makes this node and the upstream beside it known, and keeps the router's upstreams up to date.
 */
public final class Membership {
    /** The stream of member records. */
    public static final String STREAM = "members";

    private static final Logger LOG = LogManager.getLogger("membership");
    private static final long POLL_MILLIS = 1_000;
    private static final long PAUSE_NANOS = 500_000_000L;

    private final Engine engine;
    private final TimerService timers;
    private final Counters counters;
    private final Optional<HttpLog> log;
    private final MemberCodec codec = MemberCodec.create();
    private final MemberTable table = MemberTable.empty();
    private final AtomicReference<MemberRecord> self;
    private volatile long nextOffset;

    private Membership(
            MemberRecord self, Engine engine, TimerService timers, Counters counters, Optional<HttpLog> log) {
        this.self = new AtomicReference<>(self);
        this.engine = engine;
        this.timers = timers;
        this.counters = counters;
        this.log = log;
    }

    static Membership create(
            NodeSettings settings,
            long incarnation,
            Engine engine,
            TimerService timers,
            Counters counters,
            Optional<HttpLog> log) {
        MemberRecord self = new MemberRecord(
                settings.id(), incarnation, 0, MemberState.ALIVE, settings.peers(), settings.place(), "", 0);
        return new Membership(self, engine, timers, counters, log);
    }

    void start() {
        publish();
        poll();
    }

    /**
     * Takes the announcement of the upstream beside this node.
     *
     * @param service the service it serves
     * @param port the way to it
     */
    public void announce(String service, UpstreamPort port) {
        change(MemberState.ALIVE, service);
        engine.attach(self.get().upstreamId(), service, port);
        publish();
        LOG.info("The upstream announced itself for {}.", service);
    }

    /** Takes the upstream's news that it is leaving. */
    public void drain() {
        engine.server().upstream().ifPresent(u -> u.drain(true));
        change(MemberState.DRAINING, self.get().service());
        publish();
        LOG.info("The upstream is draining.");
    }

    void leave() {
        change(MemberState.LEFT, self.get().service());
        publish();
    }

    /**
     * Returns the members.
     *
     * @return the table
     */
    public MemberTable table() {
        return table;
    }

    /**
     * Returns how many calls the upstream still has.
     *
     * @return calls in flight and waiting
     */
    public long unfinished() {
        return engine.server()
                .upstream()
                .map(LocalUpstream::gate)
                .map(g -> (long) g.inFlight() + g.queued())
                .orElse(0L);
    }

    private void change(MemberState state, String service) {
        self.updateAndGet(r -> new MemberRecord(
                r.nodeId(), r.incarnation(), r.version() + 1, state, r.endpoint(), r.place(), service, r.epoch()));
    }

    private void publish() {
        MemberRecord record = self.get();
        merge(record);
        log.ifPresent(l -> l.append(STREAM, codec.encode(record), this::appended));
    }

    private void appended(LogService.Appended result) {
        counters.count(result instanceof LogService.Appended.At ? Event.LOG_APPENDED : Event.LOG_FAILED);
    }

    private void poll() {
        log.ifPresent(l -> l.read(STREAM, nextOffset, POLL_MILLIS, this::read));
    }

    private void read(LogService.Read result) {
        switch (result) {
            case LogService.Read.Records r -> {
                r.records().forEach(x -> merge(codec.decode(x.bytes())));
                nextOffset = r.nextOffset();
                poll();
            }
            case LogService.Read.Failed f -> {
                counters.count(Event.LOG_FAILED);
                timers.after(PAUSE_NANOS, this::poll);
            }
        }
    }

    private void merge(MemberRecord record) {
        if (table.merge(record, timers.nanos())) {
            engine.router().update(table.accepting());
        }
    }
}
