package org.verbenadyke.node.http1;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.LineRateLimiter;

/**
 * Logs the faults of the peers of a pool or a server. A peer in trouble, whose every answer is broken, doesn't flood
 * the log. Thread-safe.
 */
final class FaultLog {
    /** The maximum number of lines of each kind per second. */
    static final int MAX_LINES_PER_SECOND = 5;

    private static final Logger LOG = LogManager.getLogger("http");

    private final LineRateLimiter lines;

    private FaultLog(LineRateLimiter lines) {
        this.lines = lines;
    }

    /** Creates a log in which nothing was suppressed yet. */
    static FaultLog of(TimerService timers) {
        return new FaultLog(LineRateLimiter.of(timers, MAX_LINES_PER_SECOND));
    }

    /**
     * Logs a fault, unless too many of its kind were logged in the current second.
     *
     * @param format the message with a placeholder for each argument, which names the kind
     * @param arguments the arguments
     */
    void report(String format, Object... arguments) {
        int suppressed = lines.take(format);
        if (suppressed < 0) {
            return;
        }
        if (suppressed > 0) {
            LOG.info("{} faults like the next one were not logged.", suppressed);
        }
        LOG.info(format, arguments);
    }
}
