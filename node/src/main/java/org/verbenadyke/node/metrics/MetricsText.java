package org.verbenadyke.node.metrics;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.notice.AnnouncedRate;
import org.verbenadyke.kernel.serve.LocalUpstream;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Renders the node's metrics, held in a Dropwizard registry, in the Prometheus text format.
 */
public final class MetricsText {
    private static final String PREFIX = "verbenadyke_";

    private static final double NO_RATE_LIMIT = -1;

    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private final MetricRegistry registry = new MetricRegistry();
    private final Supplier<List<RetryAllowance.Status>> retryAllowance;

    private MetricsText(Supplier<List<RetryAllowance.Status>> retryAllowance) {
        this.retryAllowance = retryAllowance;
    }

    /**
     * Creates the metrics of a node.
     *
     * @param core the node's decision logic
     * @param counters the node's counters
     * @return the metrics
     */
    public static MetricsText of(NodeCore core, Counters counters) {
        MetricsText text = new MetricsText(core.engine()::retryAllowance);
        for (Event e : Event.values()) {
            text.gauge("events_total{event=\"" + e.label() + "\"}", () -> counters.events(e));
        }
        for (RetryReason r : RetryReason.values()) {
            text.gauge("retries_total{reason=\"" + r.label() + "\"}", () -> counters.retries(r));
        }
        for (RunState s : RunState.values()) {
            for (RefusalReason r : RefusalReason.values()) {
                text.gauge(
                        "refusals_total{run_state=\"" + s.label() + "\",reason=\"" + r.label() + "\"}",
                        () -> counters.refusals(s, r));
            }
        }
        text.gauge("upstream_in_flight", () -> gateValue(core, Gate::inFlight));
        text.gauge("upstream_queued", () -> gateValue(core, Gate::queued));
        text.gauge("upstream_limit", () -> gateValue(core, Gate::limit));
        text.gauge("upstream_level", () -> gateValue(core, Gate::level));
        text.gauge(
                "upstream_rate_limit",
                () -> core.engine()
                        .server()
                        .upstream()
                        .map(u -> u.notices().rate())
                        .filter(AnnouncedRate::limited)
                        .map(AnnouncedRate::perSecond)
                        .orElse(NO_RATE_LIMIT));
        text.gauge("guaranteed_share", () -> core.engine().guaranteedShare());
        text.gauge("entering_body_bytes", () -> core.engine().bodies().enteringBytes());
        text.gauge("call_body_bytes", () -> core.engine().bodies().callBytes());
        text.gauge("body_waiting", () -> core.engine().bodies().waiting());
        text.gauge("configuration_version", () -> core.engine().configuration().version());
        text.gauge("plan_version", () -> core.followDuty().currency().status().version());
        text.gauge(
                "plan_highest_heard",
                () -> core.followDuty().currency().status().highestHeard());
        text.gauge("plan_age_ms", () -> core.followDuty().currency().status().ageMillis());
        text.gauge(
                "plan_answer_age_ms",
                () -> core.followDuty().currency().status().answerAgeMillis());
        text.gauge("links", () -> core.engine().links().size());
        text.gauge("members_present", () -> core.members().present().size());
        return text;
    }

    /**
     * Adds the metrics of request latencies.
     *
     * @param latencies the latencies
     * @return these metrics
     */
    public MetricsText withLatencies(LatencyHistogram latencies) {
        gauge("request_latency_count", latencies::count);
        for (double percent : PERCENTILES) {
            gauge("request_latency_micros{percentile=\"" + percent + "\"}", () -> latencies.percentileMicros(percent));
        }
        return this;
    }

    /**
     * Renders the metrics.
     *
     * @return the text
     */
    @SuppressWarnings("rawtypes")
    public String text() {
        StringBuilder out = new StringBuilder();
        retryAllowance.get().forEach(s -> appendAllowance(out, s));
        for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
            out.append(PREFIX)
                    .append(e.getKey())
                    .append(' ')
                    .append(e.getValue().getValue())
                    .append('\n');
        }
        return out.toString();
    }

    private static void appendAllowance(StringBuilder out, RetryAllowance.Status status) {
        appendOfService(out, "retry_allowance_left", status.service(), status.left());
        appendOfService(out, "retry_allowance_saveable", status.service(), status.saveable());
        appendOfService(out, "retry_repetitions_granted_total", status.service(), status.granted());
        appendOfService(out, "retry_repetitions_denied_total", status.service(), status.denied());
    }

    private static void appendOfService(StringBuilder out, String name, String service, Object value) {
        out.append(PREFIX)
                .append(name)
                .append("{service=\"")
                .append(service)
                .append("\"} ")
                .append(value)
                .append('\n');
    }

    private <T> void gauge(String name, Gauge<T> value) {
        registry.register(name, value);
    }

    private static int gateValue(NodeCore core, ToIntFunction<Gate> value) {
        return core.engine()
                .server()
                .upstream()
                .map(LocalUpstream::gate)
                .map(value::applyAsInt)
                .orElse(0);
    }
}
