package org.verbenadyke.bench.lab;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.zip.CRC32;

import org.verbenadyke.kernel.call.RunState;

/**
 * Generates the demand of a randomised run and records the answers that callers receive. Callers of filings send the
 * same key again to other nodes, during and after the first attempt; filings without a key are sent once.
 */
final class SoakCallers {
    private static final int MAX_ATTEMPTS = 4;
    private static final long MIN_TTL_NANOS = 400 * Lab.MILLI;
    private static final long TTL_SPREAD_NANOS = 3 * Lab.SECOND;
    private static final long MAX_RESEND_DELAY_NANOS = 4 * Lab.SECOND;
    private static final double RESEND_SHARE = 0.4;
    private static final double NON_UUID_KEY_SHARE = 0.1;

    private final Lab lab;
    private final LabCaller caller;
    private final double unkeyedShare;
    private final Map<String, LogicalRequest> requests = new LinkedHashMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private final CRC32 digest = new CRC32();
    private long sent;

    SoakCallers(Lab lab, double unkeyedShare) {
        this.lab = lab;
        this.unkeyedShare = unkeyedShare;
        this.caller = new LabCaller(lab);
    }

    /** Sends requests with exponentially distributed gaps at a mean rate until the given time. */
    void generateLoad(int perSecond, long untilNanos) {
        if (lab.clock().nanos() >= untilNanos) {
            return;
        }
        sendNew();
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / perSecond);
        lab.clock().after(gap, () -> generateLoad(perSecond, untilNanos));
    }

    private void sendNew() {
        LabRequest kind = drawKind();
        String id = kind.name() + "-" + sent;
        LogicalRequest request = new LogicalRequest(kind, id, kind.once() ? drawKey() : "");
        requests.put(id, request);
        send(request);
    }

    private void send(LogicalRequest request) {
        List<LabServer> entries =
                lab.servers().stream().filter(LabServer::working).toList();
        if (entries.isEmpty()) {
            return;
        }
        LabServer entry = entries.get(lab.random().nextInt(entries.size()));
        Attempt attempt = new Attempt(entry.node(), lab.clock().nanos() / Lab.MILLI);
        request.attempts.add(attempt);
        sent++;
        long ttl = MIN_TTL_NANOS + lab.random().nextLong(TTL_SPREAD_NANOS);
        caller.send(
                request.kind, request.id, request.key, ttl, entry, answer -> recordAnswer(request, attempt, answer));
        boolean mayResend = !request.key.isEmpty() && request.attempts.size() < MAX_ATTEMPTS;
        if (mayResend && lab.random().nextDouble() < RESEND_SHARE) {
            lab.clock().after(lab.random().nextLong(MAX_RESEND_DELAY_NANOS), () -> send(request));
        }
    }

    private void recordAnswer(LogicalRequest request, Attempt attempt, LabAnswer answer) {
        if (attempt.answer != null) {
            attempt.answeredTwice = true;
        }
        attempt.answer = answer;
        answers.merge(answer.label(), 1, Integer::sum);
        String line = lab.clock().nanos() + " " + request.id + " " + answer.label();
        digest.update(line.getBytes(StandardCharsets.UTF_8));
    }

    /** Compares the answers that callers received with the work that upstreams did. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (LogicalRequest request : requests.values()) {
            request.check(lab.effects(), violations);
        }
        new RunCountCheck(lab)
                .check(
                        id -> requests.containsKey(id)
                                ? requests.get(id).attempts.size()
                                : 0,
                        kindOf(),
                        violations);
        return violations;
    }

    long sent() {
        return sent;
    }

    Map<String, Integer> answers() {
        return answers;
    }

    long digest() {
        return digest.getValue();
    }

    private Function<String, LabRequest> kindOf() {
        return id -> requests.get(id).kind;
    }

    private LabRequest drawKind() {
        double remaining = lab.random().nextDouble();
        for (LabRequest kind : SoakWorkload.REQUESTS) {
            remaining -= kind.share();
            if (remaining < 0) {
                return kind;
            }
        }
        return SoakWorkload.REQUESTS.getFirst();
    }

    private String drawKey() {
        if (unkeyedShare > 0 && lab.random().nextDouble() < unkeyedShare) {
            return "";
        }
        if (lab.random().nextDouble() < NON_UUID_KEY_SHARE) {
            return "plain-" + lab.random().nextLong();
        }
        return Keys.at(lab);
    }

    /**
     * One request of a caller, with all its attempts.
     */
    private static final class LogicalRequest {
        private final LabRequest kind;
        private final String id;
        private final String key;
        private final List<Attempt> attempts = new ArrayList<>();

        private LogicalRequest(LabRequest kind, String id, String key) {
            this.kind = kind;
            this.id = id;
            this.key = key;
        }

        void check(Effects effects, List<String> violations) {
            int ran = effects.effectCount(id);
            boolean allRefusedAsNotRun = !attempts.isEmpty();
            for (Attempt s : attempts) {
                if (s.answeredTwice) {
                    violations.add("answered twice: " + id);
                }
                if (s.answer == null && !s.entry.process().killed()) {
                    violations.add("no final answer: " + id);
                }
                if (s.answer instanceof LabAnswer.Wrong w) {
                    violations.add("wrong answer for " + id + ": " + w.text());
                }
                if (kind.once() && s.answer instanceof LabAnswer.Whole && ran == 0) {
                    violations.add("answered but never ran: " + id);
                }
                allRefusedAsNotRun &=
                        s.answer instanceof LabAnswer.Refused r && r.refusal().state() == RunState.NOT_RUN;
            }
            if (ran > 1) {
                violations.add("ran " + ran + " times: " + id + " key " + key + " " + effects.occurrences(id)
                        + " sent at " + attempts.stream().map(s -> s.atMillis).toList());
            }
            List<String> starts = effects.starts(id);
            if (key.isEmpty() && starts.size() > 1) {
                violations.add("started " + starts.size() + " times without a key: " + id + " " + starts);
            }
            if (kind.once() && allRefusedAsNotRun && (ran > 0 || !starts.isEmpty())) {
                violations.add("refused as not run but ran: " + id + " " + starts);
            }
        }
    }

    /**
     * One attempt to send a request.
     */
    private static final class Attempt {
        private final LabNode entry;
        private LabAnswer answer;
        private final long atMillis;
        private boolean answeredTwice;

        private Attempt(LabNode entry, long atMillis) {
            this.entry = entry;
            this.atMillis = atMillis;
        }
    }
}
