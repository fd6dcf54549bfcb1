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
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.Ownership;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Claims keys after asking the former owners that still run. Safe for many threads.
 */
public final class KeyOwners implements KeyClaims {
    private final OwnerView view;
    private final OwnerSettings settings;
    private final TimerService timers;
    private final BooleanSupplier isolated;
    private final AtomicLong tickets = new AtomicLong();
    private final Map<Long, Consumer<Optional<Message.KeyFact>>> asked = new ConcurrentHashMap<>();
    private volatile Links links = (endpoint, taker) -> taker.accept(Optional.empty());

    private KeyOwners(OwnerView view, OwnerSettings settings, TimerService timers, BooleanSupplier isolated) {
        this.view = view;
        this.settings = settings;
        this.timers = timers;
        this.isolated = isolated;
    }

    /**
     * Creates the claims of a node.
     *
     * @param view whose keys are whose
     * @param settings how long doubts last
     * @param timers the time
     * @param isolated tells whether this node has heard of no other for too long
     * @return the claims
     */
    public static KeyOwners create(
            OwnerView view, OwnerSettings settings, TimerService timers, BooleanSupplier isolated) {
        return new KeyOwners(view, settings, timers, isolated);
    }

    /**
     * Sets where links to former owners come from.
     *
     * @param newLinks the links
     */
    public void connectThrough(Links newLinks) {
        links = newLinks;
    }

    @Override
    public void claim(LocalUpstream local, String key, long fingerprint, Consumer<Outcome> taker) {
        if (local.keys().contains(key)) {
            taker.accept(new Outcome.Owned(local.keys().claim(key, fingerprint, timers.nanos())));
            return;
        }
        if (isolated.getAsBoolean()) {
            taker.accept(new Outcome.OwnedElsewhere());
            return;
        }
        switch (view.of(local, key)) {
            case Ownership.Elsewhere e -> taker.accept(new Outcome.OwnedElsewhere());
            case Ownership.Uncertain u -> taker.accept(new Outcome.InDoubt());
            case Ownership.Owned o ->
                askAll(o, key, local, certain -> taker.accept(claimed(local, key, fingerprint, certain)));
        }
    }

    private Outcome claimed(LocalUpstream local, String key, long fingerprint, boolean certain) {
        if (certain || local.keys().contains(key)) {
            return new Outcome.Owned(local.keys().claim(key, fingerprint, timers.nanos()));
        }
        return new Outcome.InDoubt();
    }

    /**
     * Takes a message about keys from another node.
     *
     * @param link the link it came by
     * @param message the message
     * @param local the upstream beside this node, if there is one
     */
    public void received(Link link, Message message, Optional<LocalUpstream> local) {
        switch (message) {
            case Message.KeyQuery m -> answer(link, m, local);
            case Message.KeyReply m ->
                Optional.ofNullable(asked.remove(m.ticket())).ifPresent(c -> c.accept(Optional.of(m.fact())));
            case Message.KeyTransfer m ->
                local.ifPresent(l -> l.keys().adopt(m.key(), m.fingerprint(), m.outcome(), timers.nanos()));
            case Message.KeyTransferEnd m -> view.handedOn(m.upstream());
            default -> throw new IllegalArgumentException(message.getClass().getSimpleName());
        }
    }

    /**
     * Hands all settled keys on, before a planned stop.
     *
     * @param local the upstream beside this node
     * @param heirs the upstreams of the service that go on
     */
    public void transferKeys(LocalUpstream local, List<Upstream> heirs) {
        List<KeyTable.Known> known = local.keys().known();
        for (Upstream heir : heirs) {
            links.acquire(
                    heir.node(),
                    link -> link.ifPresent(l -> {
                        known.forEach(k -> k.outcome()
                                .accept(kept -> l.send(new Message.KeyTransfer(k.key(), k.fingerprint(), kept))));
                        l.send(new Message.KeyTransferEnd(local.id()));
                    }));
        }
    }

    private void askAll(Ownership.Owned owned, String key, LocalUpstream local, Consumer<Boolean> done) {
        List<Question> questions = new ArrayList<>();
        owned.askFirst().forEach(u -> questions.add(new Question(u, false)));
        owned.voucher().ifPresent(u -> questions.add(new Question(u, true)));
        if (questions.isEmpty()) {
            done.accept(true);
            return;
        }
        AtomicInteger open = new AtomicInteger(questions.size());
        AtomicInteger doubts = new AtomicInteger();
        for (Question question : questions) {
            ask(question, local.id(), key, fact -> {
                if (!settle(fact, key, local)) {
                    doubts.incrementAndGet();
                }
                if (open.decrementAndGet() == 0) {
                    done.accept(doubts.get() == 0);
                }
            });
        }
    }

    /** Takes what a former owner said; false when it leaves a doubt. */
    private boolean settle(Optional<Message.KeyFact> fact, String key, LocalUpstream local) {
        if (fact.isEmpty()) {
            return false;
        }
        return switch (fact.get()) {
            case Message.KeyFact.NeverRan u -> true;
            case Message.KeyFact.Undetermined u -> false;
            case Message.KeyFact.Known k -> {
                local.keys().adopt(key, k.fingerprint(), k.outcome(), timers.nanos());
                yield true;
            }
        };
    }

    private void ask(Question question, String asker, String key, Consumer<Optional<Message.KeyFact>> taker) {
        long ticket = tickets.incrementAndGet();
        asked.put(ticket, taker);
        timers.after(
                settings.askNanos(),
                () -> Optional.ofNullable(asked.remove(ticket)).ifPresent(c -> c.accept(Optional.empty())));
        links.acquire(question.upstream().node(), link -> {
            if (link.isPresent()) {
                link.get().send(new Message.KeyQuery(ticket, question.upstream().id(), asker, question.vouch(), key));
                return;
            }
            Optional.ofNullable(asked.remove(ticket)).ifPresent(c -> c.accept(Optional.empty()));
        });
    }

    private void answer(Link link, Message.KeyQuery ask, Optional<LocalUpstream> local) {
        // An upstream that came after the one asked knows none of its keys: taken for proof, that runs a key again.
        if (local.map(l -> !l.id().equals(ask.formerOwner())).orElse(true)) {
            link.send(new Message.KeyReply(ask.ticket(), new Message.KeyFact.Undetermined()));
            return;
        }
        LocalUpstream l = local.get();
        Optional<KeyTable.Known> surrendered = l.keys().surrender(ask.key(), timers.nanos());
        if (surrendered.isEmpty()) {
            boolean unsure = ask.vouchForPredecessors() && view.unsure(l, ask.newOwner(), ask.key());
            Message.KeyFact fact = unsure ? new Message.KeyFact.Undetermined() : new Message.KeyFact.NeverRan();
            link.send(new Message.KeyReply(ask.ticket(), fact));
            return;
        }
        KeyTable.Known k = surrendered.get();
        k.outcome()
                .accept(kept -> link.send(
                        new Message.KeyReply(ask.ticket(), new Message.KeyFact.Known(k.fingerprint(), kept))));
    }

    /**
     * A question to a former owner.
     *
     * @param upstream the former owner
     * @param vouch whether it is also to say that nobody before it ran the key
     */
    private record Question(Upstream upstream, boolean vouch) {}
}
