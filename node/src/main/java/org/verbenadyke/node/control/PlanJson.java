package org.verbenadyke.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ImportanceRule;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.plan.ChangePlan;
import org.verbenadyke.kernel.plan.Intents;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Words intents, plans and configurations as JSON between the command-line tool and the nodes.
 */
public final class PlanJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlanJson() {}

    /**
     * Parses text.
     *
     * @param text JSON
     * @return the parsed node
     * @throws VerbenadykeException with {@link ErrorCode#PLAN_UNKNOWN}
     */
    public static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw VerbenadykeException.of(ErrorCode.PLAN_UNKNOWN, "", "not JSON");
        }
    }

    /**
     * Words intents.
     *
     * @param intents the intents
     * @return JSON
     */
    public static ObjectNode of(Intents intents) {
        ObjectNode node = JSON.createObjectNode();
        intents.retries().ifPresent(r -> node.put("retries", r));
        intents.rules().ifPresent(rules -> rules(node.putArray("rules"), rules));
        names(node.putArray("leave"), intents.leave());
        names(node.putArray("return"), intents.back());
        return node;
    }

    /**
     * Reads intents.
     *
     * @param node JSON
     * @return the intents
     */
    public static Intents intents(JsonNode node) {
        return new Intents(
                node.has("retries") ? Optional.of(node.path("retries").asInt()) : Optional.empty(),
                node.has("rules") ? Optional.of(rules(node.path("rules"))) : Optional.empty(),
                names(node.path("leave")),
                names(node.path("return")));
    }

    /**
     * Words a plan.
     *
     * @param plan the plan
     * @return JSON
     */
    public static ObjectNode of(ChangePlan plan) {
        ObjectNode node = JSON.createObjectNode();
        node.put("id", plan.id());
        node.put("base", plan.base());
        node.set("next", of(plan.next()));
        names(node.putArray("differences"), plan.differences());
        names(node.putArray("consequences"), plan.consequences());
        names(node.putArray("risks"), plan.risks());
        return node;
    }

    /**
     * Words a configuration.
     *
     * @param configuration the configuration
     * @return JSON
     */
    public static ObjectNode of(Configuration configuration) {
        ObjectNode node = JSON.createObjectNode();
        node.put("version", configuration.version());
        node.put("retries", configuration.retries());
        rules(node.putArray("rules"), configuration.rules());
        names(node.putArray("leaving"), new TreeSet<>(configuration.leaving()));
        return node;
    }

    /**
     * Reads a configuration.
     *
     * @param node JSON
     * @return the configuration
     */
    public static Configuration configuration(JsonNode node) {
        return new Configuration(
                node.path("version").asLong(),
                node.path("retries").asInt(),
                rules(node.path("rules")),
                names(node.path("leaving")));
    }

    private static void rules(ArrayNode array, List<ImportanceRule> rules) {
        for (ImportanceRule r : rules) {
            ObjectNode rule = array.addObject();
            rule.put("service", r.service());
            rule.put("method", r.method());
            rule.put("path", r.pathPrefix());
            rule.put("importance", r.importance().name().toLowerCase(Locale.ROOT));
        }
    }

    private static List<ImportanceRule> rules(JsonNode array) {
        List<ImportanceRule> rules = new ArrayList<>();
        for (JsonNode r : array) {
            rules.add(new ImportanceRule(
                    r.path("service").asText(),
                    r.path("method").asText(),
                    r.path("path").asText(),
                    Importance.valueOf(r.path("importance").asText().toUpperCase(Locale.ROOT))));
        }
        return List.copyOf(rules);
    }

    private static void names(ArrayNode array, Iterable<String> names) {
        names.forEach(array::add);
    }

    private static Set<String> names(JsonNode array) {
        Set<String> names = new TreeSet<>();
        array.forEach(n -> names.add(n.asText()));
        return Set.copyOf(names);
    }
}
