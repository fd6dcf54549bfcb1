package org.verbenadyke.kernel.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Holds back requests under which upstreams end, whatever entry, try or caller's repeat they come by. Safe for many
 * threads; looking a request up takes no lock.
 *
 * <p>Load pattern: one request ends each upstream that begins to run it, a tenth of a second later, and with it the
 * dozens of harmless ones that the upstream had. All of them are tried again at once, and the guilty one comes again at
 * any node, every second or so. Evidence is the end of an upstream that was not leaving, against every request it had.
 * An answer to a request, of any status, clears it of all ends known where the answer was seen: popular and harmless
 * requests are answered somewhere all the time. The second end of a request makes it run beside no other suspect, so
 * that the third is the fault of one request only. After that it is held back, and tried now and then at one upstream.
 */
public final class Quarantine {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Stands for the node that told of an end which was read from the log. */
    private static final String FROM_LOG = "the log";

    private final TimerService timers;
    private final QuarantineSettings settings;
    private final Counters counters;
    private final DecisionLog decisions;
    private final Trials trials;
    private final Map<RequestDigest, Suspect> suspects = new ConcurrentHashMap<>();

    /** How many suspects have each path, so that the bodies of most requests needn't be read. */
    private final Map<Integer, Integer> targets = new ConcurrentHashMap<>();

    private volatile Consumer<UpstreamCrash> news = end -> {};
    private volatile Consumer<RequestDigest> heldNews = request -> {};
    private volatile boolean changed = true;
    private volatile long fingerprint;

    private Quarantine(
            TimerService timers, QuarantineSettings settings, Counters counters, DecisionLog decisions, Trials trials) {
        this.timers = timers;
        this.settings = settings;
        this.counters = counters;
        this.decisions = decisions;
        this.trials = trials;
    }

    /**
     * Creates a quarantine without suspects.
     *
     * @param timers the time
     * @param settings when a request is held back
     * @param counters where events are counted
     * @param decisions takes what is to be explained later
     * @param trials tells which upstream may try a request that is held back
     * @return the quarantine
     */
    public static Quarantine create(
            TimerService timers, QuarantineSettings settings, Counters counters, DecisionLog decisions, Trials trials) {
        return new Quarantine(timers, settings, counters, decisions, trials);
    }

    /**
     * Creates the quarantine of a node that tells nobody and hears of nobody.
     *
     * @param timers the time
     * @return the quarantine
     */
    public static Quarantine standalone(TimerService timers) {
        return create(timers, QuarantineSettings.standard(), Counters.create(), DecisionLog.none(), Trials.alone());
    }

    /**
     * Subscribes to what is new here, whether it was seen here or told by others.
     *
     * @param listener takes each new end, and each that has been cleared
     */
    public void onNews(Consumer<UpstreamCrash> listener) {
        news = listener;
    }

    /**
     * Subscribes to what must outlive the nodes: that a request is held back of which an end was seen here, each
     * further end, and the answer that lets it go.
     *
     * @param listener takes the request
     */
    public void onHeld(Consumer<RequestDigest> listener) {
        heldNews = listener;
    }

    /**
     * Words what is known of a request for the log.
     *
     * @param request the request
     * @return the record, empty if nothing is known of it any more
     */
    public Optional<QuarantinedRequest> record(RequestDigest request) {
        long now = timers.nanos();
        long wall = timers.wallMillis();
        return Optional.ofNullable(suspects.get(request))
                .map(s -> new QuarantinedRequest(
                        request,
                        s.ends().stream()
                                .map(e -> new QuarantinedRequest.Crash(
                                        e.upstream(), e.cleared(), wall - (now - e.atNanos()) / NANOS_PER_MILLI))
                                .toList()));
    }

    /**
     * Lists the requests that are held back, whoever saw them end upstreams.
     *
     * @return the requests
     */
    public List<RequestDigest> heldBack() {
        return suspects.values().stream()
                .filter(this::held)
                .map(Suspect::request)
                .toList();
    }

    /**
     * Takes a record from the log, which may be of nodes that are all gone.
     *
     * @param held the record
     */
    public void restore(QuarantinedRequest held) {
        long now = timers.nanos();
        long wall = timers.wallMillis();
        for (QuarantinedRequest.Crash e : held.crashes()) {
            long age = Math.max(0, wall - e.atMillis()) * NANOS_PER_MILLI;
            hear(new UpstreamCrash(held.request(), e.upstream(), e.cleared(), now - age, FROM_LOG));
        }
    }

    /**
     * Takes notice that an upstream ended while it had a request.
     *
     * @param content the request
     * @param upstream the id of the upstream
     */
    public void recordCrash(Message.Content content, String upstream) {
        recordCrash(RequestDigest.of(content), upstream);
    }

    /**
     * The same for a request that is already digested.
     *
     * @param request the request
     * @param upstream the id of the upstream
     */
    public void recordCrash(RequestDigest request, String upstream) {
        hear(new UpstreamCrash(request, upstream, false, timers.nanos(), ""));
    }

    /**
     * Takes notice that an upstream answered a request.
     *
     * @param content the request
     */
    public void recordAnswer(Message.Content content) {
        Optional<Suspect> suspect = find(content);
        if (suspect.isEmpty()) {
            return;
        }
        boolean wasHeld = held(suspect.get());
        suspect.get().ends().stream().filter(e -> !e.cleared()).forEach(e -> hear(e.clear()));
        if (wasHeld) {
            counters.count(Event.QUARANTINE_LIFTED);
            heldNews.accept(suspect.get().request());
        }
    }

    /**
     * Takes an end that was seen here or told by another node.
     *
     * @param end the end
     */
    public void hear(UpstreamCrash end) {
        if (timers.nanos() - end.atNanos() > settings.keptNanos()) {
            return;
        }
        boolean[] fresh = {false};
        Suspect after = suspects.compute(end.request(), (request, known) -> {
            Suspect before = known == null ? Suspect.of(request) : known;
            Suspect with = before.with(end);
            fresh[0] = with != before;
            if (known == null) {
                targets.merge(request.pathHash(), 1, Integer::sum);
            }
            return with;
        });
        if (!fresh[0]) {
            return;
        }
        changed = true;
        if (!end.cleared() && after.standing() == settings.heldFrom()) {
            counters.count(Event.QUARANTINE_BEGUN);
            decisions.note(new Decision.Quarantined(end.request(), after.evidence(timers.nanos())));
        }
        news.accept(end);
        if (held(after) && !end.cleared() && after.seenHere()) {
            heldNews.accept(end.request());
        }
    }

    /**
     * Tells how a request stands where it enters. While no upstream has ended this costs one look at an empty table.
     *
     * @param content the request
     * @return held back, or free
     */
    public QuarantineStatus statusAtEntry(Message.Content content) {
        return standing(content, false);
    }

    /**
     * Tells how a request stands beside the upstream that is to run it.
     *
     * @param content the request
     * @return its standing there
     */
    public QuarantineStatus statusAtUpstream(Message.Content content) {
        return standing(content, true);
    }

    /**
     * Finds the upstream to which a request must go now, if it was held back and is to be tried again.
     *
     * @param content the request
     * @param service the service that is to run it
     * @return the upstream's id; empty if the request may go anywhere
     */
    public Optional<String> trialUpstream(Message.Content content, String service) {
        return find(content).filter(this::held).flatMap(s -> trials.upstream(s.request(), service, turn(s)));
    }

    /**
     * Words the refusal of a request that is held back, and explains it. The caller learns when the next trial is due,
     * however long that is: its request ends whatever runs it before, or is held by mistake until then.
     *
     * @param chain the request as nodes name it
     * @param held its standing
     * @return the refusal; this try has not run
     */
    public Refusal refusal(RequestId chain, QuarantineStatus.Quarantined held) {
        long millis = held.nanos() / NANOS_PER_MILLI + 1;
        decisions.note(new Decision.QuarantineRefused(chain, held.request(), millis, held.evidence()));
        return Refusal.notRun(RefusalReason.QUARANTINED, millis);
    }

    /**
     * Returns a hash of what is known, to compare it with other nodes.
     *
     * @return the same on all nodes that know the same
     */
    public long fingerprint() {
        if (changed) {
            changed = false;
            fingerprint =
                    suspects.values().stream().mapToLong(Suspect::fingerprint).sum();
        }
        return fingerprint;
    }

    /**
     * Lists what is known, the gravest and newest first.
     *
     * @param most how many ends at most
     * @return the ends
     */
    public List<UpstreamCrash> crashes(int most) {
        return suspects.values().stream()
                .sorted(Comparator.comparingInt(Suspect::standing)
                        .thenComparingLong(Suspect::newestNanos)
                        .reversed())
                .flatMap(s -> s.ends().stream())
                .limit(most)
                .toList();
    }

    /** Forgets what is past its time, and the oldest of what is too much; called every few hundred milliseconds. */
    public void sweep() {
        if (suspects.isEmpty()) {
            return;
        }
        long now = timers.nanos();
        List<RequestDigest> old = new ArrayList<>();
        int ends = 0;
        for (Map.Entry<RequestDigest, Suspect> e : suspects.entrySet()) {
            ends += e.getValue().ends().size();
            if (now - keptUntil(e.getValue()) > 0) {
                old.add(e.getKey());
            }
        }
        old.forEach(this::forget);
        if (ends > settings.endsMost()) {
            suspects.entrySet().stream()
                    .filter(e -> !held(e.getValue()))
                    .sorted(Comparator.comparingLong(e -> e.getValue().newestNanos()))
                    .limit(ends - settings.endsMost())
                    .map(Map.Entry::getKey)
                    .forEach(this::forget);
        }
    }

    /** Looks a request up. Its body is read only if some suspect has the same path. */
    private Optional<Suspect> find(Message.Content content) {
        if (!targets.containsKey(RequestDigest.targetOf(content))) {
            return Optional.empty();
        }
        return Optional.ofNullable(suspects.get(RequestDigest.of(content)));
    }

    private QuarantineStatus standing(Message.Content content, boolean besideUpstream) {
        Optional<Suspect> suspect = find(content);
        if (suspect.isEmpty() || suspect.get().standing() < settings.aloneFrom()) {
            return QuarantineStatus.UNRESTRICTED;
        }
        return held(suspect.get()) ? heldStanding(suspect.get(), besideUpstream) : QuarantineStatus.SOLE_SUSPECT;
    }

    private QuarantineStatus heldStanding(Suspect suspect, boolean besideUpstream) {
        long now = timers.nanos();
        long left = heldUntil(suspect) - now;
        boolean may = left <= 0 && (!besideUpstream || trials.here(suspect.request(), turn(suspect)));
        if (may) {
            return QuarantineStatus.SOLE_SUSPECT;
        }
        return new QuarantineStatus.Quarantined(
                suspect.request(), Math.max(left, settings.turnNanos()), suspect.evidence(now));
    }

    private boolean held(Suspect suspect) {
        return suspect.standing() >= settings.heldFrom();
    }

    private long heldUntil(Suspect suspect) {
        return suspect.newestStandingNanos() + settings.holdAfter(suspect.standing());
    }

    /** Numbers the turn of trials, from 0 at the end of the hold. */
    private long turn(Suspect suspect) {
        return Math.max(0, timers.nanos() - heldUntil(suspect)) / settings.turnNanos();
    }

    private long keptUntil(Suspect suspect) {
        return (held(suspect) ? heldUntil(suspect) : suspect.newestNanos()) + settings.keptNanos();
    }

    private void forget(RequestDigest request) {
        if (suspects.remove(request) != null) {
            targets.computeIfPresent(request.pathHash(), (t, n) -> n == 1 ? null : n - 1);
            changed = true;
        }
    }
}
