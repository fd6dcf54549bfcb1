package org.verbenadyke.node.metrics;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.node.http1.HttpExchange;
import org.verbenadyke.node.http1.HttpHandler;

/**
 * Serves the metrics in the Prometheus text format.
 */
public final class MetricsHandler implements HttpHandler {
    private static final int OK = 200;
    private static final List<HeaderField> TEXT = List.of(new HeaderField("content-type", "text/plain; version=0.0.4"));

    private final MetricsText metrics;

    private MetricsHandler(MetricsText metrics) {
        this.metrics = metrics;
    }

    /**
     * Creates a handler.
     *
     * @param metrics the metrics
     * @return the handler
     */
    public static MetricsHandler of(MetricsText metrics) {
        return new MetricsHandler(metrics);
    }

    @Override
    public void handle(HttpExchange exchange) {
        exchange.answer(OK, TEXT, metrics.text().getBytes(StandardCharsets.UTF_8));
    }
}
