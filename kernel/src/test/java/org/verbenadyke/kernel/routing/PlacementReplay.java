package org.verbenadyke.kernel.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.verbenadyke.kernel.message.Message;

/** A simulation of senders, upstreams with a concurrency limit and a queue, and the network between data centres. */
final class PlacementReplay {
    static final long MILLI = 1_000_000L;

    /** The time left of a call that has enough, and of one that is short of time. */
    static final long ENOUGH_NANOS = 500 * MILLI;

    static final long SHORT_NANOS = 40 * MILLI;
    private static final long WORK_NANOS = 20 * MILLI;
    private static final long ROUND_TRIP_NANOS = 3 * MILLI;
    private static final long END = 10_000 * MILLI;
    private static final int SLOTS = 40;
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);

    private final SplittableRandom random;
    private final List<Router> senders = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final Tally enough = new Tally();
    private final Tally hurried = new Tally();
    private final Tally hurriedFromFirst = new Tally();
    private final Fleet fleet;
    private double speed;
    private long now;
    private int sent;
    private int remote;
    private int queued;

    /**
     * What is replayed.
     *
     * @param speeds the speeds of the upstreams of each data centre
     * @param senders how many senders there are, spread evenly over the data centres
     * @param hurriedShare the share of calls that are short of time
     */
    record Fleet(double[][] speeds, int senders, double hurriedShare) {}

    PlacementReplay(Fleet fleet, Locality locality, long seed) {
        this.fleet = fleet;
        random = new SplittableRandom(seed);
        List<Upstream> upstreams = new ArrayList<>();
        for (int d = 0; d < fleet.speeds.length; d++) {
            for (double s : fleet.speeds[d]) {
                upstreams.add(new Upstream("u" + servers.size(), "s", AT, location(d)));
                servers.add(new Server(s));
                speed += s;
            }
        }
        for (int i = 0; i < fleet.senders; i++) {
            Chooser chooser = locality.applyTo(new ExpectedFinishProvider().create());
            Router router = Router.create("n" + i, location(i % fleet.speeds.length), 12, chooser, () -> random, true);
            router.update(upstreams);
            senders.add(router);
        }
    }

    PlacementReplay run(double load) {
        double perMilli = load * speed * SLOTS * MILLI / WORK_NANOS;
        for (long t = 0; t < END; t += MILLI) {
            while (!events.isEmpty() && events.peek().at() <= t) {
                Event e = events.poll();
                now = e.at();
                e.step().run();
            }
            now = t;
            for (double due = perMilli; due > random.nextDouble(); due--) {
                send(random.nextInt(fleet.senders));
            }
        }
        return this;
    }

    double remoteShare() {
        return (double) remote / sent;
    }

    double queuedShare() {
        return (double) queued / sent;
    }

    /** Returns the calls that had enough time. */
    Tally enough() {
        return enough;
    }

    /** Returns the calls that were short of time. */
    Tally hurried() {
        return hurried;
    }

    /** Returns the calls that were short of time and came from the first data centre. */
    Tally hurriedFromFirst() {
        return hurriedFromFirst;
    }

    /** Returns the share of the calls that an upstream got, relative to its share of the capacity. */
    double shareByCapacity(int server) {
        return servers.get(server).taken * speed / sent / servers.get(server).speed;
    }

    private void send(int sender) {
        boolean isHurried = fleet.hurriedShare > 0 && random.nextDouble() < fleet.hurriedShare;
        long timeLeft = isHurried ? SHORT_NANOS : ENOUGH_NANOS;
        Choice choice = senders.get(sender).route(new RouteQuery("s", "", 0, "", Set.of(), timeLeft), now);
        Candidate to = ((Choice.Selected) choice).candidate();
        Server target = servers.get(Integer.parseInt(to.upstream().id().substring(1)));
        sent++;
        remote += to.local() ? 0 : 1;
        to.sent();
        long trip = to.local() ? 0 : ROUND_TRIP_NANOS / 2;
        Call call = new Call(to, now, trip, isHurried ? hurried : enough, timeLeft, sender % fleet.speeds.length == 0);
        after(trip, () -> target.take(call));
    }

    private void after(long nanos, Runnable step) {
        events.add(new Event(now + nanos, step));
    }

    private static Location location(int centre) {
        return new Location("r", "d" + centre);
    }

    /** The answers of one kind of call. */
    static final class Tally {
        private final List<Long> latencies = new ArrayList<>();
        private int inTime;

        private void add(long latency, boolean isInTime) {
            latencies.add(latency);
            inTime += isInTime ? 1 : 0;
        }

        double meanMillis() {
            return latencies.stream().mapToLong(l -> l).average().orElse(0) / MILLI;
        }

        double p99Millis() {
            long[] sorted = latencies.stream().mapToLong(l -> l).sorted().toArray();
            return sorted.length == 0 ? 0 : (double) sorted[sorted.length * 99 / 100] / MILLI;
        }

        double inTimeShare() {
            return latencies.isEmpty() ? 1 : (double) inTime / latencies.size();
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "%.1f ms, p99 %.0f ms, in time %.4f", meanMillis(), p99Millis(), inTimeShare());
        }
    }

    /** An upstream with a concurrency limit and a queue. */
    private final class Server {
        private final double speed;
        private final Deque<Call> queue = new ArrayDeque<>();
        private int inFlight;
        private int taken;

        private Server(double speed) {
            this.speed = speed;
        }

        private void take(Call call) {
            taken++;
            if (inFlight == SLOTS) {
                queued++;
                queue.add(call);
                return;
            }
            start(call);
        }

        private void start(Call call) {
            inFlight++;
            after((long) (WORK_NANOS * (0.5 + random.nextDouble()) / speed), () -> finish(call));
        }

        private void finish(Call call) {
            inFlight--;
            Message.Report report =
                    new Message.Report(inFlight + queue.size(), SLOTS, 0, 0, false, Message.DeeperLevel.NONE);
            after(call.trip(), () -> arrive(call, report));
            if (!queue.isEmpty()) {
                start(queue.poll());
            }
        }

        private void arrive(Call call, Message.Report report) {
            long latency = now - call.begun();
            call.to().recordCallEnd();
            call.to().reported("", report, now);
            call.to().succeeded(latency);
            boolean inTime = latency <= call.timeLeft();
            call.tally().add(latency, inTime);
            if (call.fromFirst() && call.tally() == hurried) {
                hurriedFromFirst.add(latency, inTime);
            }
        }
    }

    /** A call in flight. */
    private record Call(Candidate to, long begun, long trip, Tally tally, long timeLeft, boolean fromFirst) {}

    /** A step of the simulation that is due at a time. */
    private record Event(long at, Runnable step) {}
}
