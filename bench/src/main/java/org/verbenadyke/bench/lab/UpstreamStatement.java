package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.notice.RateNotice;
import org.verbenadyke.kernel.notice.UpstreamNotice;

/**
 * What one process of an upstream states about itself in its answers, with a check of the calls that arrive there from
 * nodes that have passed on such an answer.
 */
final class UpstreamStatement {
    /** The field of a call that names the node where the call began. */
    static final String SENT_BY = "sent-by";

    /** The field of an answer that names the process, if the answer states something about it. */
    static final String PROCESS = "process";

    private static final long RELAY_NANOS = 500 * Lab.MILLI;
    private static final long DRAIN_NANOS = 2 * Lab.SECOND;

    private final String process;
    private final ArrivalCheck check = new ArrivalCheck();
    private final Map<String, Long> relayedLimit = new HashMap<>();
    private final Map<String, Long> relayedLeaving = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double limit = Double.POSITIVE_INFINITY;
    private boolean leaving;
    private long arrivals;

    UpstreamStatement(String process) {
        this.process = process;
    }

    String process() {
        return process;
    }

    /** Names a limit from now on; an infinite one ends it. */
    void limit(double perSecond, long nowNanos) {
        limit = perSecond;
        if (perSecond == Double.POSITIVE_INFINITY) {
            relayedLimit.clear();
        }
        check.limit(perSecond, nowNanos);
    }

    /** States from now on that the process is leaving. */
    void leave() {
        leaving = true;
    }

    /** Returns what an answer states. */
    UpstreamNotice notice() {
        RateNotice rate = limit == Double.POSITIVE_INFINITY ? new RateNotice.None() : new RateNotice.Limit(limit);
        return new UpstreamNotice(rate, leaving);
    }

    /** Returns the fields of an answer, with the name of the process if the answer states something. */
    List<HeaderField> fields(List<HeaderField> others) {
        if (notice().isEmpty()) {
            return others;
        }
        List<HeaderField> fields = new ArrayList<>(others);
        fields.add(new HeaderField(PROCESS, process));
        return fields;
    }

    /** Records that a node passes on an answer that states something. */
    void relayed(String node, long nowNanos) {
        if (limit != Double.POSITIVE_INFINITY) {
            relayedLimit.putIfAbsent(node, nowNanos);
        }
        if (leaving) {
            relayedLeaving.putIfAbsent(node, nowNanos);
        }
    }

    /** Records that a node restarts or is paused, and so may forget what it passed on. */
    void excuse(String node) {
        relayedLimit.remove(node);
        relayedLeaving.remove(node);
    }

    /** Checks a call that arrives. */
    void arrived(List<HeaderField> fields, long nowNanos) {
        arrivals++;
        String sender = sender(fields);
        if (nowNanos - relayedLimit.getOrDefault(sender, Long.MAX_VALUE / 2) >= RELAY_NANOS) {
            check.arrived(nowNanos);
        }
        if (nowNanos - relayedLeaving.getOrDefault(sender, Long.MAX_VALUE / 2) > DRAIN_NANOS) {
            violations.add(process + " is leaving, call from " + sender + " at " + nowNanos / Lab.MILLI + " ms");
        }
    }

    /** Returns the highest share of the allowed arrivals that was reached in a window. */
    double worstShare() {
        return check.worstShare();
    }

    /** Returns each arrival over a limit, or from a node that had known for long that the process is leaving. */
    List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        check.violations().forEach(v -> all.add(process + " got " + v));
        return all;
    }

    long arrivals() {
        return arrivals;
    }

    private static String sender(List<HeaderField> fields) {
        return fields.stream()
                .filter(f -> f.name().equals(SENT_BY))
                .map(HeaderField::value)
                .findFirst()
                .orElse("");
    }
}
