package org.verbenadyke.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.ParentBudget;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
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

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against reporting a call as possibly run that was refused as not run. The connection is lost while the calling
 * node still decides whether to grant a retry.
 */
final class RefusedThenLostTest {
    private static final long MILLI = 1_000_000L;
    private static final Location PLACE = new Location("r", "d");
    private static final Message.Report CALM = new Message.Report(0, 10, 0, 0, false, Message.DeeperLevel.NONE);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> got = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Router router = Router.create("me", PLACE, 8, new TwoChoicesProvider().create(), () -> random, true);
    private final ParentBudget budget = ParentBudget.of(RecordingLink::new, new CallId(1, 1), () -> false);
    private RecordingLink link = new RecordingLink();
    private final Dispatcher dispatcher = Dispatcher.create(
            new Dispatcher.Parts(
                    9,
                    clock,
                    router,
                    (endpoint, callback) -> callback.accept(Optional.of(link)),
                    () -> random,
                    Counters.create(),
                    Ledger.disabled(),
                    DecisionLog.none(),
                    Quarantine.standalone(clock)),
            DispatchSettings.standard());

    @Test
    void staysNotRun() {
        router.update(List.of(new Upstream("u1", "s", new Endpoint("10.0.0.1", 1), PLACE)));
        dispatcher.dispatch(request(), new RecordingSink(got));
        RecordingLink first = link;
        Refusal refusal = Refusal.notRun(RefusalReason.UPSTREAM_REFUSED, 1);
        dispatcher.received(first, new Message.Refused(first.calls().getFirst().id(), refusal, CALM));
        link = new RecordingLink();
        first.close();
        dispatcher.linkLost(first);
        budget.close();
        assertEquals(List.of("refused NOT_RUN UPSTREAM_REFUSED 1"), got);
    }

    private Request request() {
        return new Request(
                new RequestId(9, 1),
                "",
                "s",
                new Message.Content("POST", "/p", List.of(), new byte[0]),
                Importance.NORMAL,
                1,
                clock.nanos() + 1_000 * MILLI,
                clock.nanos() + 500 * MILLI,
                false,
                "",
                false,
                false,
                budget,
                ChainObserver.none());
    }
}
