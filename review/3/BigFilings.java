import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one machine file 2 MB requests at a steady rate, and others look records up at another service. With the
 * disruption two of three filing servers run some filings and lose their answers for a few seconds.
 */
final class BigFilings {
    private static final int BODY = 2_000_000;
    private static final double FILINGS_PER_SECOND = 40;
    private static final double LOOKUPS_PER_SECOND = 10;
    private static final int WORK_MILLIS = 210;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int FILING_DEADLINE_MILLIS = 6_000;
    private static final double LOST_SHARE = 0.3;
    private static final long SECOND = 1_000_000_000L;
    private static final long LOSSES_BEGIN = 4 * SECOND;
    private static final long LOSSES_END = 10 * SECOND;
    private static final long FILINGS_END = 16 * SECOND;
    private static final long STABILITY = 3 * SECOND;
    private static final long END = 40 * SECOND;

    private final Bed bed;
    private final boolean trouble = Bed.trouble();
    private final byte[] body = new byte[BODY];
    private final Queue<Bed.Client> kept = new ConcurrentLinkedQueue<>();
    private final AtomicInteger filed = new AtomicInteger();
    private final AtomicInteger notFiled = new AtomicInteger();
    private final AtomicInteger found = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger overTime = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private volatile long start;
    private volatile boolean losing;

    private BigFilings(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Path root = Path.of("").toAbsolutePath();
        int result = 2;
        try (Bed bed = new Bed(root, root.resolve("review/3/record.txt"))) {
            bed.limitTime(110);
            result = new BigFilings(bed).run();
        } catch (Exception e) {
            System.out.println("ended by " + e);
        }
        System.exit(result);
    }

    private int run() throws Exception {
        bed.log("disruption: %s", trouble ? "servers lose answers" : "none");
        Bed.Handler desk = (server, request, reply) -> {
            Thread.sleep(WORK_MILLIS);
            if (losing && server.machine.number <= 3 && ThreadLocalRandom.current().nextDouble() < LOST_SHARE) {
                bed.log("server %s ran %s and loses its answer", server.id, request.id());
                server.park();
                return;
            }
            reply.ok("filed".getBytes());
        };
        Bed.Handler lens = (server, request, reply) -> {
            Thread.sleep(20);
            reply.ok("found".getBytes());
        };
        for (int i = 0; i < 3; i++) {
            bed.addMachine("flagwright", 102, desk);
        }
        bed.addMachine("ledger-lens", 76, lens);
        bed.configure(
                "00000001",
                List.of("flagwright", "ledger-lens"),
                new Bed.Route("file", "a.example", "/file/", "non_idempotent", "6000ms", 0, "flagwright"),
                new Bed.Route("look", "b.example", "/look/", "idempotent", TIMEOUT_MILLIS + "ms", 1, "ledger-lens"));
        if (!bed.start(30_000)) {
            return 2;
        }
        Bed.Machine entry = bed.machines.get(3);
        start = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        threads.add(Thread.ofVirtual().start(() -> pace(FILINGS_PER_SECOND, FILINGS_END, i -> file(entry, "f" + i))));
        threads.add(Thread.ofVirtual().start(() -> pace(LOOKUPS_PER_SECOND, END, i -> look(entry, "l" + i))));
        while (System.nanoTime() - start < END) {
            long now = System.nanoTime() - start;
            losing = trouble && now > LOSSES_BEGIN && now < LOSSES_END;
            Thread.sleep(20);
        }
        for (Thread t : threads) {
            t.join();
        }
        Thread.sleep(DEADLINE_MILLIS + 500);
        int out = 0;
        for (Bed.Machine m : bed.machines) {
            boolean ready = m.ready() || m.ready() || m.ready();
            out += ready ? 0 : 1;
            bed.say("%s: process runs: %s, starts: %d, ready: %s", m.name, m.process.isAlive(), m.starts, ready);
        }
        bed.say("filings: %d answered 200, %d otherwise or not at all", filed.get(), notFiled.get());
        bed.say(
                "lookups sent 3 s after the disruption or later: %d found, %d refused, %d closed, %d over their timeout",
                found.get(), refused.get(), closed.get(), overTime.get());
        bed.say("CONFIG: %d of these had no final answer 0.5 s after the route's timeout", unanswered.get());
        bed.say("nodes that are not ready %d s after the last filing: %d", (END - FILINGS_END) / SECOND + 5, out);
        // CONFIG: eight or more, and over a quarter of those that last longer than the timeout.
        return unanswered.get() >= 8 && unanswered.get() * 4 > overTime.get() ? 1 : 0;
    }

    private interface Step {
        void run(int number);
    }

    private void pace(double perSecond, long end, Step step) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < end / (double) SECOND * perSecond; i++) {
            long wait = start + (long) (i * SECOND / perSecond) - System.nanoTime();
            try {
                Thread.sleep(Math.max(0, wait / 1_000_000));
                int number = i;
                threads.add(Thread.ofVirtual().start(() -> step.run(number)));
            } catch (InterruptedException e) {
                return;
            }
        }
        for (Thread t : threads) {
            try {
                t.join();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void file(Bed.Machine entry, String id) {
        Bed.Client c = kept.poll();
        String end;
        try {
            if (c == null) {
                c = new Bed.Client(entry.entry(), FILING_DEADLINE_MILLIS + 500);
            }
            Bed.Response r = c.send(
                    "POST", "/file/" + id, headers("a.example", id, FILING_DEADLINE_MILLIS), body);
            end = Integer.toString(r.status);
            if (r.header("connection").equals("close")) {
                c.close();
            } else {
                kept.add(c);
            }
        } catch (IOException e) {
            end = e.toString();
            close(c);
        }
        bed.log("%s POST /file/%s, %d bytes: %s", id, id, BODY, end);
        (end.equals("200") ? filed : notFiled).incrementAndGet();
    }

    private void look(Bed.Machine entry, String id) {
        long sent = System.nanoTime();
        boolean judged = sent - start >= LOSSES_END + STABILITY;
        String end;
        try (Bed.Client c = new Bed.Client(entry.entry(), TIMEOUT_MILLIS + 500)) {
            sent = System.nanoTime();
            c.write("GET", "/look/" + id, headers("b.example", id, DEADLINE_MILLIS), new byte[0]);
            Bed.Response r = c.read();
            end = Integer.toString(r.status);
        } catch (SocketTimeoutException e) {
            end = "no final answer";
        } catch (IOException e) {
            end = e.toString();
        }
        long millis = (System.nanoTime() - sent) / 1_000_000;
        bed.log("%s GET /look/%s: %s after %d ms", id, id, end, millis);
        if (!judged) {
            return;
        }
        overTime.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
        switch (end) {
            case "200" -> found.incrementAndGet();
            case "no final answer" -> unanswered.addAndGet(millis >= TIMEOUT_MILLIS + 500 ? 1 : 0);
            case "429", "502", "503", "504" -> refused.incrementAndGet();
            default -> closed.incrementAndGet();
        }
    }

    private static Map<String, String> headers(String host, String id, int deadlineMillis) {
        return Map.of("Host", host, "X-Request-Id", id, "X-Deadline-Ms", Integer.toString(deadlineMillis));
    }

    private static void close(Bed.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
    }
}
