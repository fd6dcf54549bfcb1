package org.verbenadyke.kernel.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests {@link LocalityPreference} by a simulation: senders in three data centres and one upstream in each, with a
 * concurrency limit and a queue as real upstreams have.
 */
final class LocalityPreferenceTest {
    private static final long MILLI = 1_000_000L;
    private static final long WORK_NANOS = 20 * MILLI;
    private static final long ROUND_TRIP_NANOS = 3 * MILLI;
    private static final long END = 10_000 * MILLI;
    private static final int SLOTS = 40;
    private static final int SENDERS = 12;
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);
    private static final List<String> CENTRES = List.of("d0", "d1", "d2");

    /** Without the preference 31 % of the calls go to another data centre; with it 4 % do. */
    @Test
    void keepsCallsInTheDataCentreWhileItHasSpareCapacity() {
        Replay replay = new Replay(1, 1, 1);
        replay.run(0.4);
        assertTrue(replay.remote < 0.1 * replay.sent, replay.remote + " of " + replay.sent + " remote");
        assertTrue(replay.meanMillis() < 22, replay.meanMillis() + " ms");
    }

    @Test
    void prefersMuchFasterUpstreamsInOtherDataCentres() {
        Replay replay = new Replay(0.5, 1.5, 1.5);
        replay.run(0.3);
        assertTrue(replay.toSlowest < 0.2 * replay.sent, replay.toSlowest + " of " + replay.sent + " to the slow one");
    }

    /** Without the preference the mean is 21.9 ms at this load: keeping calls local must not cost latency. */
    @Test
    void spreadsTheCallsCloseToFullCapacity() {
        Replay replay = new Replay(0.7, 1, 1.3);
        replay.run(0.9);
        assertTrue(replay.meanMillis() < 22.5, replay.meanMillis() + " ms");
    }

    /** A simulation of the senders, the upstreams and the network between them. */
    private static final class Replay {
        private final SplittableRandom random = new SplittableRandom(7);
        private final List<Router> senders = new ArrayList<>();
        private final List<Server> servers = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        private double speed;
        private long now;
        private int sent;
        private int remote;
        private int toSlowest;
        private long totalLatencyNanos;
        private int answered;

        private Replay(double... speeds) {
            List<Upstream> upstreams = new ArrayList<>();
            for (int i = 0; i < speeds.length; i++) {
                speed += speeds[i];
                servers.add(new Server(speeds[i]));
                upstreams.add(new Upstream("u" + i, "s", AT, new Location("r", CENTRES.get(i))));
            }
            for (int i = 0; i < SENDERS; i++) {
                Location location = new Location("r", CENTRES.get(i % CENTRES.size()));
                Router router =
                        Router.create("n" + i, location, 12, new ExpectedFinishProvider().create(), () -> random, true);
                router.update(upstreams);
                senders.add(router);
            }
        }

        private void run(double load) {
            double perMilli = load * speed * SLOTS * MILLI / WORK_NANOS;
            for (long t = 0; t < END; t += MILLI) {
                while (!events.isEmpty() && events.peek().at() <= t) {
                    Event e = events.poll();
                    now = e.at();
                    e.step().run();
                }
                now = t;
                for (double due = perMilli; due > random.nextDouble(); due--) {
                    send(random.nextInt(SENDERS));
                }
            }
        }

        private void send(int sender) {
            Choice choice = senders.get(sender).route(new RouteQuery("s", "", 0, "", Set.of()), now);
            Candidate to = ((Choice.Selected) choice).candidate();
            int target = to.upstream().id().charAt(1) - '0';
            boolean near = target == sender % CENTRES.size();
            sent++;
            remote += near ? 0 : 1;
            toSlowest += target == 0 ? 1 : 0;
            to.sent();
            long begun = now;
            long trip = near ? 0 : ROUND_TRIP_NANOS / 2;
            after(trip, () -> servers.get(target).take(new Call(to, begun, trip)));
        }

        private void after(long nanos, Runnable step) {
            events.add(new Event(now + nanos, step));
        }

        private double meanMillis() {
            return (double) totalLatencyNanos / answered / MILLI;
        }

        /** An upstream with a concurrency limit and a queue. */
        private final class Server {
            private final double speed;
            private final Deque<Call> queue = new ArrayDeque<>();
            private int inFlight;

            private Server(double speed) {
                this.speed = speed;
            }

            private void take(Call call) {
                if (inFlight == SLOTS) {
                    queue.add(call);
                    return;
                }
                inFlight++;
                after((long) (WORK_NANOS * (0.5 + random.nextDouble()) / speed), () -> finish(call));
            }

            private void finish(Call call) {
                inFlight--;
                Message.Report report =
                        new Message.Report(inFlight + queue.size(), SLOTS, 0, 0, false, Message.DeeperLevel.NONE);
                after(call.trip(), () -> arrive(call, report));
                if (!queue.isEmpty()) {
                    take(queue.poll());
                }
            }

            private void arrive(Call call, Message.Report report) {
                call.to().recordCallEnd();
                call.to().reported("", report, now);
                call.to().succeeded(now - call.begun());
                totalLatencyNanos += now - call.begun();
                answered++;
            }
        }
    }

    /** A call in flight. */
    private record Call(Candidate to, long begun, long trip) {}

    /** A step of the simulation that is due at a time. */
    private record Event(long at, Runnable step) {}
}
