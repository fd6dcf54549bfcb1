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
 * Quarantines requests that crash servers, whichever node a request enters by, and whether it is a first attempt, a
 * retry or a caller's repeat. Thread-safe; looking up a request takes no lock.
 *
 * <p>Load pattern: one request crashes each upstream that begins to run it, a tenth of a second later. The dozens of
 * other requests in flight at that upstream fail with it. All of them are retried at once, and the request that crashes
 * servers comes again at any node, every second or so. A crash of an upstream that was not leaving is evidence against
 * every request that was in flight there. An answer to a request, of any status, clears that request of all crashes
 * known to the node that saw the answer: popular requests that crash nothing are answered somewhere all the time. After
 * its second crash a request runs at no upstream together with another suspect, so that a third crash can be attributed
 * to one request. After the third crash the request is quarantined, and from time to time tried at one upstream.
 */
public final class Quarantine {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The reporting node given for a crash that was read from the log. */
    private static final String REPORTED_BY_LOG = "the log";

    private final TimerService timers;
    private final QuarantineSettings settings;
    private final Counters counters;
    private final DecisionLog decisions;
    private final TrialSchedule trials;
    private final Map<RequestDigest, Suspect> suspects = new ConcurrentHashMap<>();

    /** The number of suspects per path hash, so that the bodies of most requests needn't be read. */
    private final Map<Integer, Integer> suspectsByPathHash = new ConcurrentHashMap<>();

    private volatile Consumer<UpstreamCrash> crashListener = crash -> {};
    private volatile Consumer<RequestDigest> quarantineListener = request -> {};
    private volatile boolean fingerprintStale = true;
    private volatile long fingerprint;

    private Quarantine(
            TimerService timers,
            QuarantineSettings settings,
            Counters counters,
            DecisionLog decisions,
            TrialSchedule trials) {
        this.timers = timers;
        this.settings = settings;
        this.counters = counters;
        this.decisions = decisions;
        this.trials = trials;
    }

    /**
     * Creates a quarantine without suspects.
     *
     * @param timers the clock
     * @param settings when a request is quarantined
     * @param counters counts events
     * @param decisions records decisions to explain later
     * @param trials determines which upstream may try a quarantined request
     * @return the quarantine
     */
    public static Quarantine create(
            TimerService timers,
            QuarantineSettings settings,
            Counters counters,
            DecisionLog decisions,
            TrialSchedule trials) {
        return new Quarantine(timers, settings, counters, decisions, trials);
    }

    /**
     * Creates the quarantine of a node that exchanges reports with no other node.
     *
     * @param timers the clock
     * @return the quarantine
     */
    public static Quarantine standalone(TimerService timers) {
        return create(
                timers,
                QuarantineSettings.standard(),
                Counters.create(),
                DecisionLog.none(),
                TrialSchedule.standalone());
    }

    /**
     * Subscribes to crashes that are new to this node, whether observed here or reported by others.
     *
     * @param listener called with each new crash, and with each that was cleared
     */
    public void onCrash(Consumer<UpstreamCrash> listener) {
        crashListener = listener;
    }

    /**
     * Subscribes to changes that must survive a restart of all nodes: that a request is quarantined of which a crash
     * was observed here, each further crash, and the answer that lifts the quarantine.
     *
     * @param listener called with the request
     */
    public void onQuarantineChange(Consumer<RequestDigest> listener) {
        quarantineListener = listener;
    }

    /**
     * Creates a log record of the crashes known of a request.
     *
     * @param request the request
     * @return the record, empty if no crash of the request is known any more
     */
    public Optional<QuarantinedRequest> logRecord(RequestDigest request) {
        long now = timers.nanos();
        long wall = timers.wallMillis();
        return Optional.ofNullable(suspects.get(request))
                .map(s -> new QuarantinedRequest(
                        request,
                        s.crashes().stream()
                                .map(e -> new QuarantinedRequest.Crash(
                                        e.upstream(), e.cleared(), wall - (now - e.crashedNanos()) / NANOS_PER_MILLI))
                                .toList()));
    }

    /**
     * Lists the quarantined requests, whichever nodes observed the crashes.
     *
     * @return the requests
     */
    public List<RequestDigest> quarantined() {
        return suspects.values().stream()
                .filter(this::isQuarantined)
                .map(Suspect::request)
                .toList();
    }

    /**
     * Restores a record from the log, which may come from nodes that are all gone.
     *
     * @param quarantinedRequest the record
     */
    public void restore(QuarantinedRequest quarantinedRequest) {
        long now = timers.nanos();
        for (QuarantinedRequest.Crash c : quarantinedRequest.crashes()) {
            long age = Math.max(0, timers.wallMillis() - c.atMillis()) * NANOS_PER_MILLI;
            learn(new UpstreamCrash(
                    quarantinedRequest.request(), c.upstream(), c.cleared(), now - age, REPORTED_BY_LOG));
        }
    }

    /**
     * Records that an upstream crashed while a request was in flight there.
     *
     * @param content the request
     * @param upstream the id of the upstream
     */
    public void recordCrash(Message.Content content, String upstream) {
        recordCrash(RequestDigest.of(content), upstream);
    }

    /**
     * Records that an upstream crashed while a request was in flight there, by the digest of the request.
     *
     * @param request the request
     * @param upstream the id of the upstream
     */
    public void recordCrash(RequestDigest request, String upstream) {
        learn(suspects.getOrDefault(request, Suspect.of(request)).observed(upstream, timers.nanos()));
    }

    /**
     * Records that an upstream answered a request.
     *
     * @param content the request
     */
    public void recordAnswer(Message.Content content) {
        find(content).ifPresent(this::recordAnswer);
    }

    /**
     * Records that an upstream answered a request.
     *
     * @param request the digest of the request
     */
    public void recordAnswer(RequestDigest request) {
        Optional.ofNullable(suspects.get(request)).ifPresent(this::recordAnswer);
    }

    private void recordAnswer(Suspect suspect) {
        boolean wasQuarantined = isQuarantined(suspect);
        suspect.crashes().stream().filter(e -> !e.cleared()).forEach(e -> learn(e.asCleared()));
        if (wasQuarantined) {
            counters.count(Event.QUARANTINE_LIFTED);
            quarantineListener.accept(suspect.request());
        }
    }

    /**
     * Adds a crash that was observed here or reported by another node.
     *
     * @param crash the crash
     */
    public void learn(UpstreamCrash crash) {
        if (timers.nanos() - crash.crashedNanos() > settings.retentionNanos()) {
            return;
        }
        boolean[] added = {false};
        Suspect after = suspects.compute(crash.request(), (request, known) -> {
            Suspect before = known == null ? Suspect.of(request) : known;
            Suspect with = before.with(crash);
            added[0] = with != before;
            if (known == null) {
                suspectsByPathHash.merge(request.pathHash(), 1, Integer::sum);
            }
            return with;
        });
        if (!added[0]) {
            return;
        }
        fingerprintStale = true;
        if (!crash.cleared() && after.unclearedCrashes() == settings.quarantineThreshold()) {
            counters.count(Event.QUARANTINE_BEGUN);
            decisions.note(new Decision.Quarantined(crash.request(), after.evidence(timers.nanos())));
        }
        crashListener.accept(crash);
        if (isQuarantined(after) && !crash.cleared() && after.observedLocally()) {
            quarantineListener.accept(crash.request());
        }
    }

    /**
     * Returns the status of a request at the node where it enters. While no crash is known this costs one lookup in an
     * empty table.
     *
     * @param content the request
     * @return the status
     */
    public QuarantineStatus statusAtEntry(Message.Content content) {
        return status(content, false);
    }

    /**
     * Returns the status of a request at the node colocated with the upstream that is to run the request.
     *
     * @param content the request
     * @return the status
     */
    public QuarantineStatus statusAtUpstream(Message.Content content) {
        return status(content, true);
    }

    /**
     * Finds the upstream to which a request must be sent now, if the request is quarantined and due for a trial.
     *
     * @param content the request
     * @param service the service that is to run it
     * @return the upstream's id; empty if the request may be sent to any
     */
    public Optional<String> trialUpstream(Message.Content content, String service) {
        return find(content)
                .filter(this::isQuarantined)
                .flatMap(s -> trials.upstream(s.request(), service, trialTurn(s)));
    }

    /**
     * Creates the refusal of a quarantined request, and records the decision. The Retry-After delay reaches until the
     * next trial, however long that is: until then the request would crash any server that runs it, or remains
     * quarantined by mistake.
     *
     * @param chain the id of the request within its call chain
     * @param quarantined the status of the request
     * @return the refusal; this attempt has not run
     */
    public Refusal refusal(RequestId chain, QuarantineStatus.Quarantined quarantined) {
        long millis = quarantined.retryAfterNanos() / NANOS_PER_MILLI + 1;
        decisions.note(new Decision.QuarantineRefused(chain, quarantined.request(), millis, quarantined.evidence()));
        return Refusal.notRun(RefusalReason.QUARANTINED, millis);
    }

    /**
     * Returns a hash of the known crashes, to compare them with other nodes.
     *
     * @return the hash, equal on all nodes that know the same crashes
     */
    public long fingerprint() {
        if (fingerprintStale) {
            fingerprintStale = false;
            fingerprint =
                    suspects.values().stream().mapToLong(Suspect::fingerprint).sum();
        }
        return fingerprint;
    }

    /**
     * Lists the known crashes, those of the requests with the most uncleared crashes first, then the newest.
     *
     * @param max the maximum number of crashes
     * @return the crashes
     */
    public List<UpstreamCrash> crashes(int max) {
        return suspects.values().stream()
                .sorted(Comparator.comparingInt(Suspect::unclearedCrashes)
                        .thenComparingLong(Suspect::newestNanos)
                        .reversed())
                .flatMap(s -> s.crashes().stream())
                .limit(max)
                .toList();
    }

    /** Removes expired suspects, and the oldest beyond the maximum number; called every few hundred milliseconds. */
    public void sweep() {
        if (suspects.isEmpty()) {
            return;
        }
        long now = timers.nanos();
        List<RequestDigest> expired = new ArrayList<>();
        int crashes = 0;
        for (Map.Entry<RequestDigest, Suspect> e : suspects.entrySet()) {
            crashes += e.getValue().crashes().size();
            if (now - retainedUntilNanos(e.getValue()) > 0) {
                expired.add(e.getKey());
            }
        }
        expired.forEach(this::remove);
        if (crashes > settings.maxCrashes()) {
            suspects.entrySet().stream()
                    .filter(e -> !isQuarantined(e.getValue()))
                    .sorted(Comparator.comparingLong(e -> e.getValue().newestNanos()))
                    .limit(crashes - settings.maxCrashes())
                    .map(Map.Entry::getKey)
                    .forEach(this::remove);
        }
    }

    /** Looks up a request. Its body is read only if some suspect has the same path hash. */
    private Optional<Suspect> find(Message.Content content) {
        if (!suspectsByPathHash.containsKey(RequestDigest.pathHashOf(content))) {
            return Optional.empty();
        }
        return Optional.ofNullable(suspects.get(RequestDigest.of(content)));
    }

    private QuarantineStatus status(Message.Content content, boolean atUpstream) {
        Optional<Suspect> suspect = find(content);
        if (suspect.isEmpty() || suspect.get().unclearedCrashes() < settings.soleSuspectThreshold()) {
            return QuarantineStatus.UNRESTRICTED;
        }
        return isQuarantined(suspect.get())
                ? statusOfQuarantined(suspect.get(), atUpstream)
                : QuarantineStatus.SOLE_SUSPECT;
    }

    private QuarantineStatus statusOfQuarantined(Suspect suspect, boolean atUpstream) {
        long now = timers.nanos();
        long left = suspect.quarantinedUntilNanos(settings) - now;
        if (left <= 0 && (!atUpstream || trials.isLocal(suspect.request(), trialTurn(suspect)))) {
            return QuarantineStatus.TRIAL;
        }
        return new QuarantineStatus.Quarantined(
                suspect.request(), Math.max(left, settings.trialTurnNanos()), suspect.evidence(now));
    }

    private boolean isQuarantined(Suspect suspect) {
        return suspect.unclearedCrashes() >= settings.quarantineThreshold();
    }

    /** Returns the number of the current trial turn, counted from 0 when the quarantine time is over. */
    private long trialTurn(Suspect suspect) {
        return Math.max(0, timers.nanos() - suspect.quarantinedUntilNanos(settings)) / settings.trialTurnNanos();
    }

    private long retainedUntilNanos(Suspect suspect) {
        return (isQuarantined(suspect) ? suspect.quarantinedUntilNanos(settings) : suspect.newestNanos())
                + settings.retentionNanos();
    }

    private void remove(RequestDigest request) {
        if (suspects.remove(request) != null) {
            suspectsByPathHash.computeIfPresent(request.pathHash(), (t, n) -> n == 1 ? null : n - 1);
            fingerprintStale = true;
        }
    }
}
