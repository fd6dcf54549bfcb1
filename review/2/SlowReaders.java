import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients download 12 MB each from sound servers that send 2.7 MB a second. With the disruption they read 1.5 MB a
 * second: slower than the server sends, and fast enough to be done before the route's timeout and their deadline.
 */
final class SlowReaders {
    private static final int SIZE = 12 * 1024 * 1024;
    private static final int PIECE = 64 * 1024;
    private static final int PIECE_GAP_MILLIS = 24;
    private static final int SLOW_BYTES_PER_MILLI = 1_500;
    private static final int CLIENTS = 10;
    private static final int WARM_UP = 300;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int DEADLINE_MILLIS = 20_000;

    private final Bed bed;
    private final boolean trouble = Bed.trouble();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger odd = new AtomicInteger();

    private SlowReaders(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Path root = Path.of("").toAbsolutePath();
        int result = 2;
        try (Bed bed = new Bed(root, root.resolve("review/2/record.txt"))) {
            bed.limitTime(110);
            result = new SlowReaders(bed).run();
        } catch (Exception e) {
            System.out.println("ended by " + e);
        }
        System.exit(result);
    }

    private int run() throws Exception {
        bed.log("disruption: %s", trouble ? "clients read slowly" : "none");
        Bed.Handler press = (server, request, reply) -> {
            int size = Integer.parseInt(request.target.split("/")[2]);
            if (size == SIZE) {
                bed.log("server %s runs %s", server.id, request.id());
            }
            reply.head(200, size, "X-Server-Signature: signed");
            byte[] piece = new byte[PIECE];
            for (int sent = 0; sent < size; sent += PIECE) {
                reply.write(sent + PIECE <= size ? piece : new byte[size - sent]);
                Thread.sleep(PIECE_GAP_MILLIS);
            }
            if (size == SIZE) {
                bed.log("server %s has handed over all of its answer to %s", server.id, request.id());
            }
        };
        bed.addMachine("dossier-press", 102, press);
        bed.addMachine("dossier-press", 102, press);
        bed.addMachine("ledger-lens", 76, press);
        bed.configure(
                "00000001",
                List.of("dossier-press", "ledger-lens"),
                new Bed.Route("dl", "a.example", "/dl/", "download", TIMEOUT_MILLIS + "ms", 1, "dossier-press"));
        if (!bed.start(30_000)) {
            return 2;
        }
        Bed.Machine entry = bed.machines.get(2);
        warmUp(entry);
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "d" + i;
            clients.add(Thread.ofVirtual().start(() -> download(entry, id)));
        }
        for (Thread c : clients) {
            c.join();
        }
        for (Bed.Machine m : bed.machines) {
            bed.log("%s: node runs: %s, starts: %d", m.name, m.process.isAlive(), m.starts);
        }
        bed.say("%d downloads on kept connections, %d whole", CLIENTS, whole.get());
        bed.say("CONFIG: %d had no final answer 0.5 s after the route's timeout", unanswered.get());
        bed.say("LOST: %d connections were closed by the node without a complete answer", closed.get());
        if (odd.get() > 0) {
            bed.say("%d downloads ended otherwise", odd.get());
            return 2;
        }
        // CONFIG: eight or more, and over a quarter. LOST: more than three.
        return unanswered.get() >= 8 || closed.get() > 3 ? 1 : 0;
    }

    /** Small downloads, all of them whole, so that the nodes have compiled their code. */
    private void warmUp(Bed.Machine entry) throws IOException {
        try (Bed.Client c = new Bed.Client(entry.entry(), 5_000)) {
            for (int i = 0; i < WARM_UP; i++) {
                Bed.Response r = c.send("GET", "/dl/150000", headers("w" + i, 5_000), new byte[0]);
                if (r.status != 200 || r.body.length != 150_000) {
                    throw new IOException("warm-up: " + r.status);
                }
            }
        }
    }

    private static Map<String, String> headers(String id, int deadlineMillis) {
        return Map.of(
                "Host", "a.example", "X-Request-Id", id, "X-Deadline-Ms", Integer.toString(deadlineMillis));
    }

    private void download(Bed.Machine entry, String id) {
        int got = 0;
        long start = System.nanoTime();
        boolean timeoutSeen = false;
        String end;
        // A small window, as the links of the platform have.
        try (Bed.Client c = new Bed.Client(entry.entry(), 5_000, 64 * 1024)) {
            c.send("GET", "/dl/1000", headers(id + "-first", 5_000), new byte[0]);
            start = System.nanoTime();
            bed.log("%s GET /dl/%d", id, SIZE);
            c.write("GET", "/dl/" + SIZE, headers(id, DEADLINE_MILLIS), new byte[0]);
            int status = c.readHead().status;
            long from = System.nanoTime();
            byte[] part = new byte[32 * 1024];
            int n = 0;
            while (got < SIZE && n >= 0 && millisSince(start) < DEADLINE_MILLIS) {
                long untilNext = (timeoutSeen ? DEADLINE_MILLIS : TIMEOUT_MILLIS + 500) - millisSince(start);
                if (untilNext <= 0) {
                    timeoutSeen = true;
                    unanswered.incrementAndGet();
                    bed.log("%s has no final answer 0.5 s after the timeout: %d of %d bytes", id, got, SIZE);
                    continue;
                }
                c.socket.setSoTimeout((int) untilNext);
                try {
                    n = c.in.read(part);
                    got += Math.max(0, n);
                } catch (SocketTimeoutException e) {
                    continue;
                }
                long ahead = trouble ? from + got * 1_000_000L / SLOW_BYTES_PER_MILLI - System.nanoTime() : 0;
                if (ahead > 0) {
                    Thread.sleep(ahead / 1_000_000);
                }
            }
            end = status != 200 ? "status " + status : got == SIZE ? "whole" : n < 0 ? "closed" : "deadline";
        } catch (IOException | InterruptedException e) {
            end = e.toString();
        }
        bed.log("%s %s after %d ms: %d of %d bytes", id, end, millisSince(start), got, SIZE);
        switch (end) {
            case "whole" -> whole.incrementAndGet();
            case "closed" -> closed.incrementAndGet();
            case "deadline" -> bed.log("%s left at its deadline", id);
            default -> odd.incrementAndGet();
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
