package org.verbenadyke.bench.lab;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.core.UpstreamRegistration;
import org.verbenadyke.kernel.engine.RoutedRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * A fleet whose upstreams of one service name rate limits and leave by what they state in their answers. Callers send
 * lookups to random nodes and retry a refused one once.
 */
final class AnnouncingFleet {
    private static final List<Location> LOCATIONS =
            List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3"));
    private static final FleetOperation LOOKUP = FleetOperation.of("lookup", "well-index", 90, 1_200, 5_000);
    private static final FleetOperation GEO = FleetOperation.of("geo", "survey-view", 22, 300, 700);
    private static final FleetOperation DEEP_LOOKUP = LOOKUP.calling(4, GEO, false);
    private static final int SLOTS = 237;
    private static final long TTL_NANOS = 5 * Lab.SECOND;
    private static final long NODE_DOWN_NANOS = 800 * Lab.MILLI;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_600;
    private static final int MAX_TRIES = 2;
    private static final int MIN_FAILED_STATUS = 300;

    private final Lab lab;
    private final FleetOperation request;
    private final FleetOperation announced;
    private final Map<LabServer, AnnouncingUpstream> upstreams = new LinkedHashMap<>();
    private final Set<Endpoint> isolated = new HashSet<>();
    private int sent;
    private int answered;
    private int failed;
    private int refused;
    private int notRun;

    private AnnouncingFleet(long seed, FleetOperation request, FleetOperation announced, int servers) {
        this.lab = Lab.create(seed, CoreSettings.with(CallerFleet.policy()), false);
        this.request = request;
        this.announced = announced;
        lab.add(ServiceSpec.of("well-index", servers, SLOTS, 1), LOCATIONS);
        lab.add(ServiceSpec.of("survey-view", servers, SLOTS, 1), LOCATIONS);
        lab.add(ServiceSpec.of("permit-desk", servers, SLOTS, 1), LOCATIONS);
        lab.startAll();
        lab.advance(Lab.SECOND);
        lab.servers(announced.service()).forEach(this::startProcess);
        if (request != announced) {
            lab.servers(request.service()).forEach(this::attachWorker);
        }
        lab.advance(ArrivalCheck.STABILITY_NANOS);
    }

    /** Starts a fleet with some upstreams for the lookups and twice as many other nodes. */
    static AnnouncingFleet start(long seed, int servers) {
        return new AnnouncingFleet(seed, LOOKUP, LOOKUP, servers);
    }

    /** Starts a fleet in which each lookup makes four calls to the announcing upstreams of a deeper service. */
    static AnnouncingFleet startDeep(long seed, int servers) {
        return new AnnouncingFleet(seed, DEEP_LOOKUP, GEO, servers);
    }

    /** Starts a fleet like {@link #start}, under a load that goes on for the given time, of which some has passed. */
    static AnnouncingFleet startLoaded(long seed, int servers, double perSecond, long seconds, long passedSeconds) {
        AnnouncingFleet fleet = start(seed, servers);
        fleet.generateLoad(perSecond, seconds * Lab.SECOND);
        fleet.advance(passedSeconds * Lab.SECOND);
        return fleet;
    }

    /** Sends lookups at random times for the given time. */
    void generateLoad(double perSecond, long nanos) {
        generateLoadUntil(perSecond, lab.clock().nanos() + nanos);
    }

    void advance(long nanos) {
        lab.advance(nanos);
    }

    /** Lets an upstream name a limit from now on; an infinite one ends it. */
    void limit(int index, double perSecond) {
        upstream(index).limit(perSecond, lab.clock().nanos());
    }

    /** Lets an upstream state in all its answers that it is leaving. */
    void leave(int index) {
        upstream(index).leave();
    }

    /** Kills and restarts the node beside an upstream, which goes on running. */
    void restartNode(int index) {
        LabServer server = server(index);
        if (server.node().process().killed()) {
            return;
        }
        lab.crashNode(server);
        excuse(server);
        lab.clock().after(NODE_DOWN_NANOS, () -> {
            lab.restartNode(server, 1_000 * Lab.SECOND);
            lab.clock().after(200 * Lab.MILLI, () -> attach(server));
        });
    }

    /** Replaces an upstream by a new process that states nothing. */
    void replaceProcess(int index) {
        startProcess(server(index));
    }

    /** Pauses the node beside an upstream. */
    void pauseNode(int index, long nanos) {
        LabServer server = server(index);
        ProcessTimers process = server.node().process();
        process.pause();
        excuse(server);
        lab.clock().after(nanos, () -> {
            excuse(server);
            process.resume();
        });
    }

    /** Isolates the node beside an upstream from all others for the given time. */
    void isolate(int index, long nanos) {
        Endpoint at = server(index).endpoint();
        isolated.add(at);
        lab.net().partition((a, b) -> isolated.contains(a) != isolated.contains(b));
        lab.clock().after(nanos, () -> isolated.remove(at));
    }

    UpstreamStatement upstream(int index) {
        return upstreams.get(server(index)).statement();
    }

    /** Returns each arrival that exceeded a limit, or came after its sender knew that the upstream was leaving. */
    List<String> violations() {
        return lab.statements().violations();
    }

    /** Returns how many calls arrived at all upstreams. */
    long arrivals() {
        return lab.statements().all().stream()
                .mapToLong(UpstreamStatement::arrivals)
                .sum();
    }

    /** Returns how many calls were sent to another upstream, since the one before did not run them. */
    long reroutes() {
        return lab.servers().stream()
                .mapToLong(s -> s.node().counters().retries(RetryReason.REROUTED))
                .sum();
    }

    int answered() {
        return answered;
    }

    double answeredShare() {
        return sent == 0 ? 1 : (double) answered / sent;
    }

    /** Returns the highest share of the allowed arrivals that was reached at any upstream. */
    double worstShare() {
        return lab.statements().all().stream()
                .mapToDouble(UpstreamStatement::worstShare)
                .max()
                .orElse(0);
    }

    @Override
    public String toString() {
        List<String> all = violations();
        return answered + " of " + sent + " answered, " + reroutes() + " rerouted, " + failed + " failed, " + notRun
                + " of " + refused
                + " refusals as not run, up to "
                + Math.round(worstShare() * 100) + " % of what is allowed, " + all.size() + " violations, "
                + all.stream().limit(3).toList();
    }

    private LabServer server(int index) {
        return lab.servers(announced.service()).get(index);
    }

    private void startProcess(LabServer server) {
        AnnouncingUpstream process = new AnnouncingUpstream(
                lab.statements().open(server.id()), Map.of(announced.name(), announced), lab.random());
        upstreams.put(server, process);
        attach(server);
    }

    private void attachWorker(LabServer server) {
        LabNode node = server.node();
        FleetUpstream worker = new FleetUpstream(
                node,
                Map.of(request.name(), request),
                lab.random(),
                1,
                lab.statements(),
                new WorkLog(),
                new RetryAudit());
        node.core()
                .attachUpstream(
                        UpstreamRegistration.of(server.spec().name(), worker).withSlots(SLOTS));
    }

    private void attach(LabServer server) {
        LabNode node = server.node();
        AnnouncingUpstream process = upstreams.get(server);
        UpstreamRegistration registration = UpstreamRegistration.of(
                        server.spec().name(), process.portAt(node))
                .withSlots(SLOTS)
                .withStart(process.statement().process().hashCode());
        node.process().run(() -> node.core().attachUpstream(registration));
    }

    private void excuse(LabServer server) {
        lab.statements().all().forEach(u -> u.excuse(server.id()));
    }

    private void generateLoadUntil(double perSecond, long end) {
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / perSecond);
        lab.clock().after(gap, () -> {
            if (lab.clock().nanos() < end) {
                new CallerRequest().send();
                generateLoadUntil(perSecond, end);
            }
        });
    }

    /** One request of a caller, which retries a refused request once at a random node. */
    private final class CallerRequest implements AnswerSink {
        private final String path = "/lookup/" + sent++;
        private int tries;
        private LabServer entry;
        private boolean succeeded;

        void send() {
            tries++;
            List<LabServer> working = lab.servers().stream()
                    .filter(s -> s.up() && !s.node().process().paused())
                    .toList();
            entry = working.get(lab.random().nextInt(working.size()));
            Message.Content content = new Message.Content(
                    "GET", path, List.of(new HeaderField(UpstreamStatement.SENT_BY, entry.id())), new byte[0]);
            RoutedRequest routed = new RoutedRequest(
                    request.route(), request.service(), content, Importance.NORMAL, Optional.empty(), TTL_NANOS, 0);
            entry.node().core().engine().submit(routed, this);
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            succeeded = status < MIN_FAILED_STATUS;
            lab.statements().relayed(headers, entry.id(), lab.clock().nanos());
        }

        @Override
        public void data(byte[] bytes) {
            // Only the end of the answer counts.
        }

        @Override
        public void end() {
            if (succeeded) {
                answered++;
            } else {
                failed++;
            }
        }

        @Override
        public void refused(Refusal refusal) {
            refused++;
            if (refusal.state() == RunState.NOT_RUN) {
                notRun++;
            }
            if (tries < MAX_TRIES && refusal.state() == RunState.NOT_RUN) {
                long after = Math.min(refusal.retryAfterMillis(), MAX_RETRY_DELAY_MILLIS);
                lab.clock().after(after * Lab.MILLI + Lab.MILLI, this::send);
            }
        }

        @Override
        public void aborted() {
            // The caller doesn't retry.
        }
    }
}
