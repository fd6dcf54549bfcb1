package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.admission.SlotLimit;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.membership.Gossip;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.serve.Attachment;
import org.verbenadyke.kernel.serve.DrainCause;
import org.verbenadyke.kernel.serve.LocalUpstream;

/**
 * Attaches, drains and detaches the colocated upstream, and informs the other nodes.
 */
final class UpstreamLifecycle {
    private final Engine engine;
    private final Gossip gossip;
    private final Runnable changed;
    private volatile Optional<SlotLimit> slots = Optional.empty();
    private volatile boolean draining;
    private volatile boolean shuttingDown;

    /** Creates a lifecycle without an upstream; the task runs when an upstream was attached or detached. */
    UpstreamLifecycle(Engine engine, Gossip gossip, Runnable changed) {
        this.engine = engine;
        this.gossip = gossip;
        this.changed = changed;
    }

    void attach(UpstreamRegistration registration) {
        draining = shuttingDown;
        if (registration.slots().isPresent()) {
            gossip.renew();
        }
        MemberRecord record = gossip.change(state(), registration.service());
        LocalUpstream local = attach(registration, record.upstreamId());
        if (draining) {
            drain(DrainCause.NODE_STOPPING);
        } else if (local.draining()) {
            drain();
        }
        changed.run();
    }

    void detach() {
        engine.server().detach();
        detached();
    }

    /** Detaches the upstream, which refuses connections. */
    void detachCrashed() {
        engine.server().attached().detachCrashed();
        detached();
    }

    private void detached() {
        gossip.change(state(), "");
        changed.run();
    }

    /** Drains the upstream, which announced that it is leaving. */
    void drain() {
        drain(DrainCause.LEAVING);
    }

    private void drain(DrainCause cause) {
        draining = true;
        engine.server().upstream().ifPresent(u -> u.drain(cause));
        gossip.change(MemberState.DRAINING, gossip.self().service());
    }

    /** Drains the node, which stops: an upstream that registers from now on gets no work either. */
    void shutDown(long endNanos) {
        shuttingDown = true;
        engine.dispatcher().stopBy(endNanos);
        drain(DrainCause.NODE_STOPPING);
    }

    /** Gives the upstream its new id: others may have assigned the keys of the old id to another owner. */
    void rename(MemberRecord renewed) {
        engine.server().upstream().ifPresent(u -> engine.server().attach(u.withId(renewed.upstreamId())));
        changed.run();
    }

    /** Follows another number of slots that the upstream announces. */
    void resize(int newSlots) {
        slots.ifPresent(s -> s.announce(newSlots));
        engine.server().upstream().ifPresent(LocalUpstream::limitsChanged);
    }

    private MemberState state() {
        return draining ? MemberState.DRAINING : MemberState.ALIVE;
    }

    private LocalUpstream attach(UpstreamRegistration registration, String id) {
        Runnable onLeaving = registration.onLeaving().orElse(() -> drainIfCurrent(registration));
        Attachment attachment =
                new Attachment(id, registration.service(), registration.port(), registration.start(), onLeaving);
        slots = registration.slots().stream().mapToObj(SlotLimit::of).findFirst();
        return slots.map(s -> engine.attach(attachment, s)).orElseGet(() -> engine.attach(attachment));
    }

    /** Drains the upstream, unless another one has registered meanwhile. */
    private void drainIfCurrent(UpstreamRegistration registration) {
        boolean current = engine.server()
                .upstream()
                .filter(u -> u.port() == registration.port())
                .isPresent();
        if (current) {
            drain();
        }
    }
}
