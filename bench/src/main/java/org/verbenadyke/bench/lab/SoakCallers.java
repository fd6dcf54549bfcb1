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
 * The demand of a randomised run, and what each caller was told. Callers of filings send again under the same key, to
 * other nodes, during and after the first try; filings without a key are sent once.
 */
final class SoakCallers {
    private static final int SENDS_MOST = 4;
    private static final long TTL_LEAST_NANOS = 400 * Lab.MILLI;
    private static final long TTL_SPREAD_NANOS = 3 * Lab.SECOND;
    private static final long RESEND_SPREAD_NANOS = 4 * Lab.SECOND;
    private static final double RESEND_SHARE = 0.4;
    private static final double PLAIN_KEY_SHARE = 0.1;

    private final Lab lab;
    private final LabCaller caller;
    private final double unkeyedShare;
    private final Map<String, Logical> logicals = new LinkedHashMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private final CRC32 digest = new CRC32();
    private long sent;

    SoakCallers(Lab lab, double unkeyedShare) {
        this.lab = lab;
        this.unkeyedShare = unkeyedShare;
        this.caller = new LabCaller(lab);
    }

    /** Keeps sending at a mean rate until a time. */
    void demand(int perSecond, long untilNanos) {
        if (lab.world().nanos() >= untilNanos) {
            return;
        }
        begin();
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / perSecond);
        lab.world().after(gap, () -> demand(perSecond, untilNanos));
    }

    private void begin() {
        LabRequest kind = draw();
        String id = kind.name() + "-" + sent;
        Logical logical = new Logical(kind, id, kind.once() ? key() : "");
        logicals.put(id, logical);
        send(logical);
    }

    private void send(Logical logical) {
        List<LabServer> entries =
                lab.servers().stream().filter(LabServer::working).toList();
        if (entries.isEmpty()) {
            return;
        }
        LabServer entry = entries.get(lab.random().nextInt(entries.size()));
        Send send = new Send(entry.node(), lab.world().nanos() / Lab.MILLI);
        logical.sends.add(send);
        sent++;
        long ttl = TTL_LEAST_NANOS + lab.random().nextLong(TTL_SPREAD_NANOS);
        caller.send(logical.kind, logical.id, logical.key, ttl, entry, answer -> answered(logical, send, answer));
        boolean again = !logical.key.isEmpty() && logical.sends.size() < SENDS_MOST;
        if (again && lab.random().nextDouble() < RESEND_SHARE) {
            lab.world().after(lab.random().nextLong(RESEND_SPREAD_NANOS), () -> send(logical));
        }
    }

    private void answered(Logical logical, Send send, LabAnswer answer) {
        if (send.answer != null) {
            send.twice = true;
        }
        send.answer = answer;
        answers.merge(answer.label(), 1, Integer::sum);
        String line = lab.world().nanos() + " " + logical.id + " " + answer.label();
        digest.update(line.getBytes(StandardCharsets.UTF_8));
    }

    /** Compares what callers were told with what the upstreams did. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        for (Logical logical : logicals.values()) {
            logical.check(lab.effects(), violations);
        }
        new RunBound(lab)
                .check(id -> logicals.containsKey(id) ? logicals.get(id).sends.size() : 0, kindOf(), violations);
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
        return id -> logicals.get(id).kind;
    }

    private LabRequest draw() {
        double d = lab.random().nextDouble();
        for (LabRequest kind : SoakWorld.REQUESTS) {
            d -= kind.share();
            if (d < 0) {
                return kind;
            }
        }
        return SoakWorld.REQUESTS.getFirst();
    }

    private String key() {
        if (unkeyedShare > 0 && lab.random().nextDouble() < unkeyedShare) {
            return "";
        }
        if (lab.random().nextDouble() < PLAIN_KEY_SHARE) {
            return "plain-" + lab.random().nextLong();
        }
        return Keys.at(lab);
    }

    /**
     * One request as its caller means it.
     */
    private static final class Logical {
        private final LabRequest kind;
        private final String id;
        private final String key;
        private final List<Send> sends = new ArrayList<>();

        private Logical(LabRequest kind, String id, String key) {
            this.kind = kind;
            this.id = id;
            this.key = key;
        }

        void check(Effects effects, List<String> violations) {
            int ran = effects.effects(id);
            boolean allNotRun = !sends.isEmpty();
            for (Send s : sends) {
                if (s.twice) {
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
                allNotRun &=
                        s.answer instanceof LabAnswer.Refused r && r.refusal().state() == RunState.NOT_RUN;
            }
            if (ran > 1) {
                violations.add("ran " + ran + " times: " + id + " key " + key + " " + effects.places(id) + " sent at "
                        + sends.stream().map(s -> s.atMillis).toList());
            }
            List<String> starts = effects.starts(id);
            if (key.isEmpty() && starts.size() > 1) {
                violations.add("started " + starts.size() + " times without a key: " + id + " " + starts);
            }
            if (kind.once() && allNotRun && (ran > 0 || !starts.isEmpty())) {
                violations.add("refused as not run but ran: " + id + " " + starts);
            }
        }
    }

    /**
     * One sending of a request.
     */
    private static final class Send {
        private final LabNode entry;
        private LabAnswer answer;
        private final long atMillis;
        private boolean twice;

        private Send(LabNode entry, long atMillis) {
            this.entry = entry;
            this.atMillis = atMillis;
        }
    }
}
