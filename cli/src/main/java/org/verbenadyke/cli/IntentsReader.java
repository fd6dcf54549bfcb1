package org.verbenadyke.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.config.ImportanceRule;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.plan.Intents;
import org.verbenadyke.node.settings.IniReader;
import org.verbenadyke.node.settings.InvalidSettingsException;

/**
 * Reads the operators' intents from an INI file; see docs/operations/confirming.md.
 */
final class IntentsReader {
    private static final String IMPORTANCE = "importance";
    private static final String RETRIES = "retries";
    private static final String UPSTREAMS = "upstreams";
    private static final int RULES_MOST = 1_000;
    private static final int RULE_WORDS = 4;
    private static final int NUMBER_MOST = 1_000_000;

    private IntentsReader() {}

    static Intents read(Path file) {
        IniReader ini = IniReader.open(file);
        ini.checkSections(Set.of(), Set.of(IMPORTANCE, RETRIES, UPSTREAMS));
        ini.checkKeys(RETRIES, Set.of("chain"));
        ini.checkKeys(UPSTREAMS, Set.of("leave", "return"));
        Optional<Integer> retries =
                ini.text(RETRIES, "chain").map(v -> (int) ini.number(RETRIES, "chain", -NUMBER_MOST, NUMBER_MOST, 0));
        Intents intents = new Intents(retries, rules(ini), names(ini, "leave"), names(ini, "return"));
        if (!ini.problems().isEmpty()) {
            throw InvalidSettingsException.of(ini.problems());
        }
        return intents;
    }

    private static Optional<List<ImportanceRule>> rules(IniReader ini) {
        if (!ini.sections().contains(IMPORTANCE)) {
            return Optional.empty();
        }
        List<ImportanceRule> rules = new ArrayList<>();
        Set<String> known = new TreeSet<>();
        for (int i = 1; i <= RULES_MOST; i++) {
            String key = Integer.toString(i);
            Optional<String> text = ini.text(IMPORTANCE, key);
            if (text.isEmpty()) {
                break;
            }
            known.add(key);
            rule(ini, key, text.get()).ifPresent(rules::add);
        }
        ini.checkKeys(IMPORTANCE, known);
        return Optional.of(rules);
    }

    private static Optional<ImportanceRule> rule(IniReader ini, String key, String text) {
        String[] words = text.split("\\s+");
        boolean level = words.length == RULE_WORDS
                && Arrays.stream(Importance.values())
                        .anyMatch(v -> v.name().toLowerCase(Locale.ROOT).equals(words[RULE_WORDS - 1]));
        if (!level) {
            ini.addProblem(
                    ErrorCode.SETTINGS_BAD_VALUE,
                    IMPORTANCE,
                    key,
                    text,
                    "must be SERVICE METHOD PATH and low, normal, high or critical");
            return Optional.empty();
        }
        Importance importance = Importance.valueOf(words[RULE_WORDS - 1].toUpperCase(Locale.ROOT));
        return Optional.of(new ImportanceRule(words[0], words[1], words[2], importance));
    }

    private static Set<String> names(IniReader ini, String key) {
        return ini.text(UPSTREAMS, key)
                .map(v -> Set.copyOf(Arrays.asList(v.split("\\s+"))))
                .orElse(Set.of());
    }
}
