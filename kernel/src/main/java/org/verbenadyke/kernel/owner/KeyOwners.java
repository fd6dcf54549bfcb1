package org.verbenadyke.kernel.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.KeyFact;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.Ownership;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Claims idempotency keys after querying the former owners that are still running. Thread-safe.
 */
public final class KeyOwners implements KeyClaims {
    private final OwnerView view;
    private final OwnerSettings settings;
    private final TimerService timers;
    private final BooleanSupplier isolated;
    private final AtomicLong tickets = new AtomicLong();
    private final Map<Long, Consumer<Optional<KeyFact>>> pendingQueries = new ConcurrentHashMap<>();
    private volatile Links links = (endpoint, callback) -> callback.accept(Optional.empty());

    private KeyOwners(OwnerView view, OwnerSettings settings, TimerService timers, BooleanSupplier isolated) {
        this.view = view;
        this.settings = settings;
        this.timers = timers;
        this.isolated = isolated;
    }

    /**
     * Creates the key claims of a node.
     *
     * @param view decides which node owns a key
     * @param settings how long ownership may be in doubt
     * @param timers the clock and timers
     * @param isolated returns whether this node has received nothing from other nodes for too long
     * @return the key claims
     */
    public static KeyOwners create(
            OwnerView view, OwnerSettings settings, TimerService timers, BooleanSupplier isolated) {
        return new KeyOwners(view, settings, timers, isolated);
    }

    /**
     * Sets the source of links to former owners.
     *
     * @param newLinks the source of links
     */
    public void connectThrough(Links newLinks) {
        links = newLinks;
    }

    @Override
    public void claim(LocalUpstream local, String key, long fingerprint, Consumer<Outcome> callback) {
        if (local.keys().contains(key)) {
            callback.accept(new Outcome.Owned(local.keys().claim(key, fingerprint, timers.nanos())));
            return;
        }
        if (isolated.getAsBoolean()) {
            callback.accept(new Outcome.OwnedElsewhere());
            return;
        }
        switch (view.of(local, key)) {
            case Ownership.OwnedElsewhere e -> callback.accept(new Outcome.OwnedElsewhere());
            case Ownership.InDoubt u -> callback.accept(new Outcome.InDoubt());
            case Ownership.Owned o ->
                queryAll(o, key, local, certain -> callback.accept(claimed(local, key, fingerprint, certain)));
        }
    }

    private Outcome claimed(LocalUpstream local, String key, long fingerprint, boolean certain) {
        if (certain || local.keys().contains(key)) {
            return new Outcome.Owned(local.keys().claim(key, fingerprint, timers.nanos()));
        }
        return new Outcome.InDoubt();
    }

    /**
     * Handles a message about keys from another node.
     *
     * @param link the link it arrived on
     * @param message the message
     * @param local the upstream colocated with this node, if there is one
     */
    public void received(Link link, Message message, Optional<LocalUpstream> local) {
        switch (message) {
            case Message.KeyQuery m -> answer(link, m, local);
            case Message.KeyReply m ->
                Optional.ofNullable(pendingQueries.remove(m.ticket())).ifPresent(c -> c.accept(Optional.of(m.fact())));
            case Message.KeyTransfer m ->
                local.ifPresent(l -> l.keys().adopt(m.key(), m.fingerprint(), m.outcome(), timers.nanos()));
            case Message.KeyTransferEnd m -> view.keysTransferred(m.upstream());
            default -> throw new IllegalArgumentException(message.getClass().getSimpleName());
        }
    }

    /**
     * Transfers all claimed keys to other nodes before a planned stop, each as soon as its outcome is known.
     *
     * @param local the upstream colocated with this node
     * @param successors the upstreams of the service that keep running
     */
    public void transferKeys(LocalUpstream local, List<Upstream> successors) {
        List<KeyTable.ClaimedKey> claimed = local.keys().claimedKeys();
        for (Upstream successor : successors) {
            links.acquire(
                    successor.node(),
                    link -> link.ifPresent(l -> {
                        claimed.forEach(k -> k.outcome()
                                .accept(outcome -> l.send(new Message.KeyTransfer(k.key(), k.fingerprint(), outcome))));
                        l.send(new Message.KeyTransferEnd(local.id()));
                    }));
        }
    }

    private void queryAll(Ownership.Owned owned, String key, LocalUpstream local, Consumer<Boolean> done) {
        List<OwnerQuery> queries = new ArrayList<>();
        owned.formerOwners().forEach(u -> queries.add(new OwnerQuery(u, false)));
        owned.predecessor().ifPresent(u -> queries.add(new OwnerQuery(u, true)));
        if (queries.isEmpty()) {
            done.accept(true);
            return;
        }
        AtomicInteger unanswered = new AtomicInteger(queries.size());
        AtomicInteger uncertain = new AtomicInteger();
        for (OwnerQuery query : queries) {
            query(query, local.id(), key, fact -> {
                if (!applyFact(fact, key, local)) {
                    uncertain.incrementAndGet();
                }
                if (unanswered.decrementAndGet() == 0) {
                    done.accept(uncertain.get() == 0);
                }
            });
        }
    }

    /** Applies the reply of a former owner; returns false if it leaves the ownership in doubt. */
    private boolean applyFact(Optional<KeyFact> fact, String key, LocalUpstream local) {
        if (fact.isEmpty()) {
            return false;
        }
        return switch (fact.get()) {
            case KeyFact.NeverRan u -> true;
            case KeyFact.Undetermined u -> false;
            case KeyFact.Known k -> {
                local.keys().adopt(key, k.fingerprint(), k.outcome(), timers.nanos());
                yield true;
            }
        };
    }

    private void query(OwnerQuery query, String newOwner, String key, Consumer<Optional<KeyFact>> callback) {
        long ticket = tickets.incrementAndGet();
        pendingQueries.put(ticket, callback);
        timers.after(
                settings.queryTimeoutNanos(),
                () -> Optional.ofNullable(pendingQueries.remove(ticket)).ifPresent(c -> c.accept(Optional.empty())));
        links.acquire(query.upstream().node(), link -> {
            if (link.isPresent()) {
                link.get().send(new Message.KeyQuery(ticket, query.upstream().id(), newOwner, query.vouch(), key));
                return;
            }
            Optional.ofNullable(pendingQueries.remove(ticket)).ifPresent(c -> c.accept(Optional.empty()));
        });
    }

    private void answer(Link link, Message.KeyQuery query, Optional<LocalUpstream> local) {
        // An upstream that started after the queried one knows none of its keys. If its answer counted as proof, the
        // key
        // could run again.
        if (local.map(l -> !l.id().equals(query.formerOwner())).orElse(true)) {
            link.send(new Message.KeyReply(query.ticket(), new KeyFact.Undetermined()));
            return;
        }
        LocalUpstream l = local.get();
        Optional<KeyTable.ClaimedKey> claimed = l.keys().lookUpOrSeal(query.key(), timers.nanos());
        if (claimed.isEmpty()) {
            boolean undetermined =
                    query.vouchForPredecessors() && view.mayHaveRunElsewhere(l, query.newOwner(), query.key());
            KeyFact fact = undetermined ? new KeyFact.Undetermined() : new KeyFact.NeverRan();
            link.send(new Message.KeyReply(query.ticket(), fact));
            return;
        }
        KeyTable.ClaimedKey k = claimed.get();
        k.outcome()
                .accept(outcome ->
                        link.send(new Message.KeyReply(query.ticket(), new KeyFact.Known(k.fingerprint(), outcome))));
    }

    /**
     * A query to a former owner.
     *
     * @param upstream the former owner
     * @param vouch whether it must also vouch that no owner before it ran the key
     */
    private record OwnerQuery(Upstream upstream, boolean vouch) {}
}
