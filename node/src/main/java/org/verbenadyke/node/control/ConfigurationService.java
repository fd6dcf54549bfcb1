package org.verbenadyke.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ConfirmOutcome;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.plan.ChangePlanner;
import org.verbenadyke.kernel.plan.InvalidIntentsException;
import org.verbenadyke.kernel.plan.ServiceView;
import org.verbenadyke.kernel.routing.Candidate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Plans and confirms changes of the configuration for the operators.
 */
final class ConfigurationService {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final NodeCore core;

    private ConfigurationService(NodeCore core) {
        this.core = core;
    }

    static ConfigurationService of(NodeCore core) {
        return new ConfigurationService(core);
    }

    String plan(String body) {
        try {
            return PlanJson.of(ChangePlanner.plan(
                            UUID.randomUUID().toString(),
                            core.engine().configuration(),
                            PlanJson.intents(PlanJson.parse(body)),
                            services()))
                    .toString();
        } catch (InvalidIntentsException e) {
            ObjectNode node = JSON.createObjectNode();
            ArrayNode problems = node.putArray("problems");
            e.problems().forEach(problems::add);
            return node.toString();
        }
    }

    void undo(long version, Consumer<String> taker) {
        core.config().version(version - 1, earlier -> {
            if (earlier.isEmpty()) {
                ObjectNode node = JSON.createObjectNode();
                node.putArray("problems")
                        .add(VerbenadykeException.describe(
                                ErrorCode.PLAN_UNKNOWN,
                                "undo " + version,
                                "version " + (version - 1) + " is not known to this node any more"));
                taker.accept(node.toString());
                return;
            }
            String id = UUID.randomUUID().toString();
            taker.accept(PlanJson.of(ChangePlanner.undo(id, core.engine().configuration(), earlier.get(), services()))
                    .toString());
        });
    }

    void confirm(String body, Consumer<String> taker) {
        JsonNode plan = PlanJson.parse(body);
        Configuration next = PlanJson.configuration(plan.path("next"));
        ConfigEntry.Change change = new ConfigEntry.Change(
                plan.path("id").asText(),
                plan.path("base").asLong(),
                next.retries(),
                next.rules(),
                next.leaving(),
                plan.path("author").asText(),
                System.currentTimeMillis());
        core.config().confirm(change, outcome -> taker.accept(words(change, outcome)));
    }

    void show(long version, Consumer<String> taker) {
        Configuration inForce = core.engine().configuration();
        if (version < 0 || version == inForce.version()) {
            taker.accept(PlanJson.of(inForce).toString());
            return;
        }
        core.config()
                .version(
                        version,
                        found -> taker.accept(
                                found.map(c -> PlanJson.of(c).toString()).orElse("{}")));
    }

    String history() {
        ObjectNode node = JSON.createObjectNode();
        ArrayNode decisions = node.putArray("decisions");
        for (ConfigState.Decision d : core.config().history()) {
            ObjectNode line = decisions.addObject();
            line.put("outcome", d.tookEffect() ? "in-force" : "lost");
            line.put("version", d.version());
            line.put("id", d.id());
            line.put("author", d.author());
            line.put("atMs", d.atMillis());
        }
        return node.toString();
    }

    private static String words(ConfigEntry.Change change, ConfirmOutcome outcome) {
        ObjectNode node = JSON.createObjectNode();
        node.put("id", change.id());
        switch (outcome) {
            case ConfirmOutcome.InForce c -> node.put("outcome", "in-force").put("version", c.version());
            case ConfirmOutcome.Superseded c ->
                node.put("outcome", "lost")
                        .put("version", c.version())
                        .put(
                                "message",
                                VerbenadykeException.describe(ErrorCode.PLAN_STALE, change.base(), c.version()));
            case ConfirmOutcome.NotAppended c ->
                node.put("outcome", "not-appended")
                        .put(
                                "message",
                                VerbenadykeException.describe(ErrorCode.LOG_UNREACHABLE, "[log] address", c.reason()));
            case ConfirmOutcome.Unknown c ->
                node.put("outcome", "unknown")
                        .put("message", VerbenadykeException.describe(ErrorCode.LOG_OUTCOME_UNKNOWN, c.reason()));
        }
        return node.toString();
    }

    private List<ServiceView> services() {
        Map<String, List<MemberRecord>> byService = core.members().present().stream()
                .filter(r -> !r.service().isEmpty())
                .collect(Collectors.groupingBy(MemberRecord::service));
        List<ServiceView> views = new ArrayList<>();
        byService.forEach((service, records) -> views.add(new ServiceView(
                service,
                records.stream()
                        .map(r -> new ServiceView.Member(
                                r.nodeId(), r.location().dataCentre(), r.state().accepting()))
                        .toList(),
                load(service))));
        return views;
    }

    private OptionalDouble load(String service) {
        return core.engine().router().candidates().stream()
                .filter(c -> c.upstream().service().equals(service))
                .map(Candidate::reportedLoad)
                .flatMap(Optional::stream)
                .mapToDouble(Double::doubleValue)
                .average();
    }
}
