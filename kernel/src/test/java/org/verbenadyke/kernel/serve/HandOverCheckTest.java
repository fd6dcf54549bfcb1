package org.verbenadyke.kernel.serve;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Tests {@link HandOverCheck}. */
final class HandOverCheckTest {
    private static final long TTL_MICROS = 1_000_000L;
    private static final int GC_RUNS = 50;
    private static final long ONE_MILLI_NANOS = 1_000_000L;
    private static final int BODY_BYTES = 64 * 1024;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final List<Runnable> claims = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final BodyMemory memory = BodyMemory.of(BODY_BYTES, clock, Optional::empty, () -> new SplittableRandom(1));
    private final CallServer server = CallServer.create(
            new CallServer.Parts(
                    1,
                    clock,
                    () -> new SplittableRandom(1),
                    Counters.create(),
                    Ledger.disabled(),
                    ServiceLevels.empty(),
                    (local, key, fingerprint, callback) ->
                            claims.add(() -> KeyClaims.unshared().claim(local, key, fingerprint, callback)),
                    DecisionLog.none(),
                    Quarantine.standalone(clock),
                    memory),
            ServeSettings.standard());
    private final LocalUpstream local = LocalUpstream.of(
            "u1",
            "s",
            (handOver, listener) -> {
                handed.add(listener);
                return null;
            },
            Gate.of(GateSettings.standard(), FixedLimit.of(1)),
            KeyTable.withRetention(Long.MAX_VALUE / 2),
            clock);

    /** The gate's queue is emptied when the upstream begins to leave, and the call isn't in it yet. */
    @Test
    void refusesACallThatWaitedForItsKeyWhileTheUpstreamBeganToLeave() {
        clock.advance(ONE_MILLI_NANOS);
        server.attach(local);
        server.received(link, call("k", new byte[0]));
        local.drain(DrainCause.LEAVING);
        claims.forEach(Runnable::run);
        assertEquals(List.of(), handed);
        Message.Refused refused = (Message.Refused) link.sent().getLast();
        assertEquals(RefusalReason.DRAINING, refused.refusal().reason());
    }

    /** A call whose answer is lost stays for a minute, and would shut the node to bodies for that time. */
    @Test
    void dropsTheBodyOfACallOnceTheUpstreamHasIt() throws InterruptedException {
        clock.advance(ONE_MILLI_NANOS);
        server.attach(local);
        byte[] body = new byte[BODY_BYTES];
        WeakReference<byte[]> held = new WeakReference<>(body);
        server.received(link, call("", body));
        body = null;
        assertEquals(BODY_BYTES, memory.callBytes());
        handed.getFirst().written();
        assertEquals(0, memory.callBytes());
        for (int i = 0; i < GC_RUNS && held.get() != null; i++) {
            System.gc();
            Thread.sleep(1);
        }
        assertNull(held.get());
        assertEquals(1, server.unfinished());
    }

    private Message.Call call(String key, byte[] body) {
        return new Message.Call(
                new CallId(5, 1),
                new RequestId(5, 1),
                new Message.Target("s", "u1"),
                Importance.NORMAL,
                0,
                TTL_MICROS,
                TTL_MICROS / 2,
                clock.nanos(),
                false,
                key,
                Message.Stated.NOTHING,
                false,
                Repetition.NONE,
                new Message.Content("POST", "/p", List.of(), body));
    }
}
