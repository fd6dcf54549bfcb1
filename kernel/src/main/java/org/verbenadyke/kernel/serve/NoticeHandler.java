package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.notice.AnnouncedRate;
import org.verbenadyke.kernel.notice.RateChange;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Handles what the colocated upstream states about itself in its answers.
 */
final class NoticeHandler {
    private final Counters counters;
    private final DecisionLog decisions;

    NoticeHandler(Counters counters, DecisionLog decisions) {
        this.counters = counters;
        this.decisions = decisions;
    }

    void handle(LocalUpstream local, UpstreamNotice notice, long handedOverNanos) {
        handle(local, local.notices().rate().received(notice.rate(), handedOverNanos, local.now()));
        if (notice.leaving()) {
            handleLeaving(local);
        }
    }

    /** Handles what the sender of a call knows the upstream to have stated, since this node may have restarted. */
    void recall(LocalUpstream local, Message.Stated known) {
        if (known.isEmpty() || !local.notices().isOf(known.start())) {
            return;
        }
        handle(local, local.notices().rate().recall(known.perSecond(), local.now()));
        if (known.leaving()) {
            handleLeaving(local);
        }
    }

    private void handle(LocalUpstream local, RateChange change) {
        if (!(change instanceof RateChange.Unchanged)) {
            counters.count(event(change));
            decisions.note(new Decision.RateLimit(local.id(), change));
            local.limitsChanged();
        }
    }

    private void handleLeaving(LocalUpstream local) {
        if (local.notices().recordLeaving()) {
            counters.count(Event.UPSTREAM_LEAVING);
            decisions.note(new Decision.UpstreamLeaving(local.id()));
            local.leave();
        }
    }

    /** Logs that a call was refused because of the rate limit of the upstream. */
    void noteOverLimit(LocalUpstream local, Message.Call call, Refusal refusal) {
        AnnouncedRate rate = local.notices().rate();
        decisions.note(new Decision.OverRateLimit(
                call.request(),
                call.target().upstream(),
                rate.perSecond(),
                rate.ageMillis(local.now()),
                refusal.retryAfterMillis()));
    }

    private static Event event(RateChange change) {
        return switch (change) {
            case RateChange.Named n -> Event.RATE_LIMIT_NAMED;
            case RateChange.Ended e -> Event.RATE_LIMIT_ENDED;
            case RateChange.Rejected r -> Event.RATE_LIMIT_UNREADABLE;
            case RateChange.Changed c -> Event.RATE_LIMIT_CHANGED;
            case RateChange.Unchanged u -> throw new IllegalStateException("no change");
        };
    }
}
