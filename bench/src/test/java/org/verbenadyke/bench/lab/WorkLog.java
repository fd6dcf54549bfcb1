package org.verbenadyke.bench.lab;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.cost.UsageSum;

/** The time that upstreams spent on each request until they answered, by service; empty unless enabled. */
final class WorkLog {
    private final Map<RequestId, UsageSum> byRequest = new HashMap<>();
    private boolean enabled;

    void enable() {
        enabled = true;
    }

    void record(RequestId request, String service, long nanos) {
        if (enabled) {
            Usage.SlotTime slotTime = new Usage.SlotTime(service, nanos / 1_000);
            byRequest.computeIfAbsent(request, r -> UsageSum.empty()).add(new Usage(List.of(slotTime)));
        }
    }

    Usage usage(RequestId request) {
        return byRequest.getOrDefault(request, UsageSum.empty()).total();
    }
}
