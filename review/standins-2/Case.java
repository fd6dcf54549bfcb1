package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The frame of a case: the record, the verdict and the exit code. */
final class Case {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Case() {}

    /** What a case does; returns whether the rule held, or throws if the case could not run. */
    interface Body {
        boolean held(Deployment deployment) throws Exception;
    }

    static void run(String[] args, Body body) throws Exception {
        int code;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])))) {
            try (Deployment deployment = new Deployment(record)) {
                deployment.note(TROUBLE ? "with the disruption" : "without the disruption");
                code = body.held(deployment) ? 0 : 1;
                deployment.note(code == 0 ? "verdict: the rule held" : "verdict: the rule was broken");
                System.out.println(code == 0 ? "The rule held." : "The rule was broken.");
            } catch (Exception e) {
                e.printStackTrace(record);
                e.printStackTrace();
                code = 2;
            }
        }
        System.exit(code);
    }

    /** Tries something until it succeeds, and returns whether it did. */
    static boolean becomes(int seconds, java.util.function.BooleanSupplier attempt) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (attempt.getAsBoolean()) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException("the case could not run: " + what);
        }
    }
}
