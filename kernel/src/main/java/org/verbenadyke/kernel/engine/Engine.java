package org.verbenadyke.kernel.engine;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.admission.AdmissionLevel;
import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.budget.RetryBudget;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.cost.RequestCosts;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.dispatch.ChainObserver;
import org.verbenadyke.kernel.dispatch.Dispatcher;
import org.verbenadyke.kernel.dispatch.Request;
import org.verbenadyke.kernel.link.LinkPool;
import org.verbenadyke.kernel.link.Transport;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.notice.StartNotices;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.route.GuaranteedShares;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.serve.Attachment;
import org.verbenadyke.kernel.serve.CallContext;
import org.verbenadyke.kernel.serve.CallServer;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * The request path of one node: accepts requests, sends each to an upstream through the node colocated with it, and
 * serves the calls of other nodes. Does no I/O and starts no threads.
 */
public final class Engine {
    private final EngineParts parts;
    private final Policy policy;
    private final Router router;
    private final LinkPool links;
    private final Dispatcher dispatcher;
    private final CallServer server;
    private final EntryBudgets budgets;
    private final KeyTable keys;
    private final ImportanceRaising raising;
    private volatile StartNotices notices = StartNotices.of(StartNotices.UNKNOWN_START);
    private final AtomicLong requests = new AtomicLong();
    private final AtomicReference<Configuration> configuration = new AtomicReference<>(Configuration.initial());

    private Engine(EngineParts parts, Policy policy) {
        this.parts = parts;
        this.policy = policy;
        this.router = Router.create(
                parts.nodeId(),
                parts.location(),
                policy.subsetSize(),
                policy.locality().applyTo(PlugIns.chooser(policy.chooser())),
                parts.random(),
                policy.gate().sheds());
        Message.Hello self = new Message.Hello(Message.VERSION, parts.nodeId(), parts.incarnation());
        this.links = LinkPool.create(
                self,
                parts.timers(),
                policy.link(),
                parts.transport(),
                parts.counters(),
                IncomingMessages.to(parts, this::server, this::dispatcher));
        this.dispatcher = Dispatcher.create(
                new Dispatcher.Parts(
                        parts.incarnation(),
                        parts.timers(),
                        router,
                        links,
                        parts.random(),
                        parts.counters(),
                        parts.ledger(),
                        parts.decisions(),
                        parts.quarantine()),
                policy.dispatch());
        this.server = CallServer.create(
                new CallServer.Parts(
                        parts.incarnation(),
                        parts.timers(),
                        parts.random(),
                        parts.counters(),
                        parts.ledger(),
                        router.levels(),
                        parts.keyClaims(),
                        parts.decisions(),
                        parts.quarantine(),
                        parts.bodies()),
                policy.serve());
        this.budgets = EntryBudgets.of(parts, policy);
        this.keys = KeyTable.withRetention(policy.keyRetentionNanos());
        this.raising = ImportanceRaising.of(parts, router.levels());
    }

    /**
     * Creates an engine and schedules its periodic tasks.
     *
     * @param parts the collaborators
     * @param policy the settings of its decisions
     * @return the engine
     */
    public static Engine create(EngineParts parts, Policy policy) {
        Engine engine = new Engine(parts, policy);
        parts.timers().every(AdmissionLevel.WINDOW_NANOS, engine::endWindow);
        parts.timers().every(engine.server.sweepNanos(), engine::sweep);
        return engine;
    }

    /**
     * Accepts a connection that another node opened.
     *
     * @return the handler of the connection's events
     */
    public Transport.Handler accept() {
        return links.accept();
    }

    /**
     * Returns the memory for request bodies.
     *
     * @return the memory
     */
    public BodyMemory bodies() {
        return parts.bodies();
    }

    /**
     * Dispatches a request of an external caller.
     *
     * @param inbound the request
     * @param sink receives its answer
     * @return the handle to control the request
     */
    public CallHandle submit(InboundRequest inbound, AnswerSink sink) {
        parts.counters().count(Event.REQUEST_IN);
        RequestId id = newRequestId();
        Configuration config = configuration.get();
        Message.Content content = inbound.content();
        Importance importance = config.importance(inbound.service(), content.method(), content.path());
        Request request = new Request(
                id,
                "",
                inbound.service(),
                content,
                importance,
                0,
                parts.timers().nanos() + ttlNanos(inbound),
                parts.timers().nanos() + ttlNanos(inbound),
                inbound.idempotent(),
                inbound.key(),
                false,
                false,
                budgets.enter(inbound, id, config),
                ChainObserver.none());
        return dispatcher.dispatch(request, sink);
    }

    /**
     * Creates the id of a request that is about to be submitted.
     *
     * @return the id, unique among all requests of all nodes
     */
    public RequestId newRequestId() {
        return new RequestId(parts.incarnation(), requests.incrementAndGet());
    }

    /**
     * Dispatches a request whose route was found in the plan in force. Its retries are bounded by the route's attempts;
     * the calls made to serve it share the retries that are left.
     *
     * @param routed the request
     * @param sink receives its answer
     * @return the handle to control the request
     */
    public CallHandle submit(RoutedRequest routed, AnswerSink sink) {
        parts.counters().count(Event.REQUEST_IN);
        Route route = routed.route();
        long now = parts.timers().nanos();
        long ttl = Math.min(
                routed.ttlNanos(), Math.min(route.timeoutNanos(), policy.serve().maxTtlNanos()));
        Optional<CallContext> parent = routed.parent();
        RequestId id = parent.map(CallContext::request).or(routed::id).orElseGet(this::newRequestId);
        if (routed.surplus()) {
            parts.counters().count(Event.SURPLUS_RANKED);
        }
        Importance importance =
                parent.map(CallContext::importance).orElseGet(() -> raising.importance(routed, id, now));
        Request request = new Request(
                id,
                "",
                routed.service(),
                routed.content(),
                importance,
                parent.map(c -> c.depth() + 1).orElse(0),
                now + ttl,
                now + Math.min(ttl, route.targetNanos() - routed.waitedNanos()),
                route.kind().repeatable(),
                "",
                routed.waitedNanos() > 0,
                routed.surplus(),
                parent.<RetryBudget>map(CallContext::budget).orElseGet(() -> budgets.enter(routed, id, importance)),
                parent.<ChainObserver>map(c -> c).orElseGet(ChainObserver::none));
        return raising.dispatch(dispatcher, routed, request, sink);
    }

    /**
     * Dispatches a call that the upstream colocated with this node makes while it serves another.
     *
     * @param token the context token of the call being served
     * @param inbound the nested call
     * @param sink receives its answer
     * @return the handle to control the call, empty when it was refused immediately
     */
    public Optional<CallHandle> submitNested(String token, InboundRequest inbound, AnswerSink sink) {
        Optional<CallContext> context = server.context(token);
        if (context.isEmpty()) {
            parts.counters().refused(RunState.NOT_RUN, RefusalReason.CONTEXT_UNKNOWN);
            sink.refused(Refusal.notRun(RefusalReason.CONTEXT_UNKNOWN, 0));
            return Optional.empty();
        }
        CallContext c = context.get();
        parts.counters().count(Event.REQUEST_IN);
        long deadline = Math.min(c.deadlineNanos(), parts.timers().nanos() + ttlNanos(inbound));
        RetryBudget budget = policy.perHopRetries() > 0 ? RootBudget.of(policy.perHopRetries()) : c.budget();
        Request request = new Request(
                c.request(),
                server.upstream().map(LocalUpstream::service).orElse(""),
                inbound.service(),
                inbound.content(),
                c.importance(),
                c.depth() + 1,
                deadline,
                deadline,
                inbound.idempotent(),
                inbound.key(),
                false,
                false,
                budget,
                c);
        return Optional.of(dispatcher.dispatch(request, sink));
    }

    /**
     * Attaches the upstream that registered with this node. The idempotency keys that ran here are retained, even
     * while no upstream is attached.
     *
     * @param attachment the upstream
     * @return the upstream
     */
    public LocalUpstream attach(Attachment attachment) {
        return attach(attachment, PlugIns.limit(policy.limit(), policy.limits()));
    }

    /**
     * Attaches an upstream of an unknown start.
     *
     * @param id its id
     * @param service the service it serves
     * @param port the connection to it
     * @return the upstream
     */
    public LocalUpstream attach(String id, String service, UpstreamPort port) {
        return attach(Attachment.of(id, service, port));
    }

    /**
     * Attaches the upstream that registered with this node, with its own concurrency limit. What the same start of the
     * upstream has stated about itself still holds.
     *
     * @param attachment the upstream
     * @param limit how many calls it may have in flight
     * @return the upstream
     */
    public LocalUpstream attach(Attachment attachment, ConcurrencyLimit limit) {
        if (!notices.isOf(attachment.start())) {
            notices = StartNotices.of(attachment.start());
        }
        Gate gate = Gate.of(policy.gate(), limit, notices.rate(), parts.timers(), raising::takesEffect);
        LocalUpstream local = LocalUpstream.of(attachment, gate, keys, notices, parts.timers());
        server.attach(local);
        return local;
    }

    /**
     * Puts a configuration in force.
     *
     * @param next the configuration; ignored unless its version is higher than the one in force
     */
    public void applyConfiguration(Configuration next) {
        Configuration before = configuration.getAndUpdate(c -> next.version() > c.version() ? next : c);
        if (next.version() > before.version()) {
            parts.ledger().applied(next.version());
            parts.counters().count(Event.CONFIG_APPLIED);
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration.get();
    }

    /**
     * Returns the router.
     *
     * @return the router, which must be updated when the known upstreams change
     */
    public Router router() {
        return router;
    }

    /**
     * Returns the links to other nodes.
     *
     * @return the link pool
     */
    public LinkPool links() {
        return links;
    }

    /**
     * Returns the part that serves calls of other nodes.
     *
     * @return the call server
     */
    public CallServer server() {
        return server;
    }

    /**
     * Returns the part that sends calls to other nodes.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the lowest share of a route's requests that is raised to a higher importance.
     *
     * @return the share, {@link GuaranteedShares#NO_SHARE} if the route plan raises none
     */
    public double guaranteedShare() {
        return raising.lowestShare();
    }

    /**
     * Returns what is known about the slot time of requests that entered at this node.
     *
     * @return the costs; nothing is known unless the route plan guarantees shares or requests ask for it
     */
    public RequestCosts costs() {
        return raising.costs();
    }

    /**
     * Returns what this node may still grant of retries.
     *
     * @return the services, in no particular order
     */
    public List<RetryAllowance.Status> retryAllowance() {
        return budgets.status();
    }

    private long ttlNanos(InboundRequest inbound) {
        long maxTtl = policy.serve().maxTtlNanos();
        return Math.min(maxTtl, inbound.ttlNanos().orElse(policy.defaultTtlNanos()));
    }

    private void endWindow() {
        server.upstream().ifPresent(u -> u.gate().endWindow());
    }

    private void sweep() {
        server.sweep();
        parts.ledger().rotate();
        budgets.expire(parts.timers().nanos());
    }
}
