package org.verbenadyke.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.routing.TwoChoicesProvider;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/** A dispatcher with two upstreams, whose messages are recorded and whose answers the test gives. */
class DispatcherFixture {
    static final long MILLI = 1_000_000L;
    static final Location PLACE = new Location("r", "d");
    static final Message.Report CALM = new Message.Report(0, 10, 0, 0, false, Message.DeeperLevel.NONE);

    final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    final Counters counters = Counters.create();
    final List<String> got = new ArrayList<>();
    boolean surplus;
    final SplittableRandom random = new SplittableRandom(1);
    final Router router = Router.create("me", PLACE, 8, new TwoChoicesProvider().create(), () -> random, true);
    final List<RecordingLink> links = new ArrayList<>(List.of(new RecordingLink()));
    RecordingLink link = links.getFirst();
    Dispatcher dispatcher = dispatcher(DispatchSettings.standard());

    DispatcherFixture() {
        router.update(List.of(
                new Upstream("u1", "s", new Endpoint("10.0.0.1", 1), PLACE),
                new Upstream("u2", "s", new Endpoint("10.0.0.2", 1), PLACE)));
    }

    Dispatcher dispatcher(DispatchSettings settings) {
        return Dispatcher.create(
                new Dispatcher.Parts(
                        9,
                        clock,
                        router,
                        (endpoint, callback) -> callback.accept(Optional.of(link)),
                        () -> random,
                        counters,
                        Ledger.reportingTo(b -> got.add("breach " + b)),
                        DecisionLog.none(),
                        Quarantine.standalone(clock)),
                settings);
    }

    void renewLink() {
        link = new RecordingLink();
        links.add(link);
    }

    /** Closes the link that carried all messages so far, and offers a new one. */
    void loseLink() {
        RecordingLink lost = link;
        renewLink();
        lost.close();
        dispatcher.linkLost(lost);
    }

    List<Message.Call> calls() {
        return links.stream().flatMap(l -> l.calls().stream()).toList();
    }

    void send(boolean idempotent, int budget) {
        Message.Content content = new Message.Content(idempotent ? "GET" : "POST", "/read/1", List.of(), new byte[0]);
        Request request = new Request(
                new RequestId(9, calls().size() + 1),
                "",
                "s",
                content,
                Importance.NORMAL,
                0,
                clock.nanos() + 1_000 * MILLI,
                clock.nanos() + 500 * MILLI,
                idempotent,
                "",
                false,
                surplus,
                RootBudget.of(budget),
                ChainObserver.none());
        dispatcher.dispatch(request, new RecordingSink(got));
    }

    void answer(int call, int status, String body) {
        CallId id = calls().get(call).id();
        dispatcher.received(link, new Message.Head(id, status, List.of(), false, CALM));
        if (!body.isEmpty()) {
            dispatcher.received(link, new Message.Data(id, 0, body.getBytes()));
        }
        dispatcher.received(link, new Message.End(id, body.length()));
    }

    void refuse(int call, RunState state, RefusalReason reason) {
        dispatcher.received(link, new Message.Refused(calls().get(call).id(), new Refusal(state, reason, 0), CALM));
    }

    static Refusal notRun(RefusalReason reason) {
        return Refusal.notRun(reason, 1);
    }
}
