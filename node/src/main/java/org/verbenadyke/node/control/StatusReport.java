package org.verbenadyke.node.control;

import java.util.Locale;

import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.node.settings.NodeSettings;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reports a node's state as JSON.
 */
final class StatusReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final NodeSettings settings;
    private final NodeCore core;
    private final Counters counters;

    private StatusReport(NodeSettings settings, NodeCore core, Counters counters) {
        this.settings = settings;
        this.core = core;
        this.counters = counters;
    }

    static StatusReport of(NodeSettings settings, NodeCore core, Counters counters) {
        return new StatusReport(settings, core, counters);
    }

    String json() {
        Engine engine = core.engine();
        ObjectNode node = JSON.createObjectNode();
        node.put("node", settings.id());
        node.put("region", settings.location().region());
        node.put("dataCentre", settings.location().dataCentre());
        node.put("configurationVersion", engine.configuration().version());
        node.put(
                "configurationOffset",
                core.config().state().map(ConfigState::offset).orElse(-1L));
        node.put("configurationSynced", core.config().synced());
        node.put("logViewAgeMs", core.config().logAgeNanos() / NANOS_PER_MILLI);
        node.put("followsLogClosely", core.tailing());
        engine.server().upstream().ifPresent(u -> {
            ObjectNode upstream = node.putObject("upstream");
            Gate gate = u.gate();
            upstream.put("id", u.id());
            upstream.put("service", u.service());
            upstream.put("draining", u.draining());
            upstream.put("inFlight", gate.inFlight());
            upstream.put("queued", gate.queued());
            upstream.put("limit", gate.limit());
            upstream.put("level", gate.level());
            upstream.put("keys", u.keys().size());
        });
        node.put("links", engine.links().size());
        node.put("requestsUnderWay", engine.dispatcher().inFlight());
        members(node.putArray("members"));
        counters(node.putObject("counters"));
        return node.toString();
    }

    private void members(ArrayNode array) {
        for (MemberRecord r : core.members().records()) {
            ObjectNode m = array.addObject();
            m.put("node", r.nodeId());
            m.put("state", r.state().name().toLowerCase(Locale.ROOT));
            m.put("service", r.service());
            m.put("address", r.endpoint().toString());
            m.put("control", r.control().toString());
            m.put("dataCentre", r.location().dataCentre());
        }
    }

    private void counters(ObjectNode node) {
        ObjectNode events = node.putObject("events");
        for (Event e : Event.values()) {
            events.put(e.label(), counters.events(e));
        }
        ObjectNode retries = node.putObject("retries");
        for (RetryReason r : RetryReason.values()) {
            retries.put(r.label(), counters.retries(r));
        }
        ObjectNode refusals = node.putObject("refusals");
        for (RunState s : RunState.values()) {
            ObjectNode byReason = refusals.putObject(s.label());
            for (RefusalReason r : RefusalReason.values()) {
                byReason.put(r.label(), counters.refusals(s, r));
            }
        }
    }
}
