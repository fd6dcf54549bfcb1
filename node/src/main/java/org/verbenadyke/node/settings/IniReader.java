package org.verbenadyke.node.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Locality;

/**
 * Reads an INI file and collects all problems found in the file, each with file, section and key.
 */
public final class IniReader {
    private static final int MAX_PORT = 65_535;

    private final String file;
    private final INIConfiguration ini;
    private final List<String> problems = new ArrayList<>();

    private IniReader(String file, INIConfiguration ini) {
        this.file = file;
        this.ini = ini;
    }

    /**
     * Opens a file.
     *
     * @param path the file
     * @return the reader
     * @throws VerbenadykeException with {@link ErrorCode#SETTINGS_UNREADABLE}
     */
    public static IniReader open(Path path) {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            ini.read(reader);
        } catch (IOException | ConfigurationException e) {
            throw VerbenadykeException.of(ErrorCode.SETTINGS_UNREADABLE, path, e.getMessage());
        }
        return new IniReader(path.toString(), ini);
    }

    /**
     * Returns the names of the sections.
     *
     * @return the names
     */
    public Set<String> sections() {
        return ini.getSections();
    }

    /**
     * Adds a problem for each required section that is missing and each section that is unknown.
     *
     * @param required the required sections
     * @param known all known sections
     */
    public void checkSections(Set<String> required, Set<String> known) {
        for (String section : required) {
            if (!ini.getSections().contains(section)) {
                addProblem(ErrorCode.SETTINGS_MISSING_SECTION, section);
            }
        }
        for (String section : ini.getSections()) {
            if (!known.contains(String.valueOf(section))) {
                addProblem(ErrorCode.SETTINGS_UNKNOWN_SECTION, String.valueOf(section));
            }
        }
    }

    /**
     * Adds a problem for each unknown key of a section.
     *
     * @param section the section
     * @param known the known keys
     */
    public void checkKeys(String section, Set<String> known) {
        if (!ini.getSections().contains(section)) {
            return;
        }
        ini.getSection(section).getKeys().forEachRemaining(raw -> {
            String key = raw.replace("..", ".");
            if (!known.contains(key)) {
                addProblem(ErrorCode.SETTINGS_UNKNOWN_KEY, section, key);
            }
        });
    }

    /**
     * Reads an optional text.
     *
     * @param section the section
     * @param key the key
     * @return the value, if present and not blank
     */
    public Optional<String> text(String section, String key) {
        SubnodeConfiguration s = ini.getSection(section);
        return Optional.ofNullable(s.getString(key)).map(String::strip).filter(v -> !v.isEmpty());
    }

    /**
     * Reads a required text.
     *
     * @param section the section
     * @param key the key
     * @return the value; empty if the key is missing
     */
    public String requiredText(String section, String key) {
        Optional<String> value = text(section, key);
        if (value.isEmpty() && ini.getSections().contains(section)) {
            addProblem(ErrorCode.SETTINGS_MISSING_KEY, section, key);
        }
        return value.orElse("");
    }

    /**
     * Reads and converts a value.
     *
     * @param section the section
     * @param key the key
     * @param expectation what the value must be, for the message
     * @param convert converts the text; throws {@link IllegalArgumentException} if the text is invalid
     * @param <T> the type of the value
     * @return the value, empty if the key is missing or the value is invalid
     */
    public <T> Optional<T> value(String section, String key, String expectation, Function<String, T> convert) {
        Optional<String> text = text(section, key);
        try {
            return text.map(convert);
        } catch (IllegalArgumentException e) {
            addProblem(ErrorCode.SETTINGS_BAD_VALUE, section, key, text.orElse(""), "must be " + expectation);
            return Optional.empty();
        }
    }

    /**
     * Reads a whole number.
     *
     * @param section the section
     * @param key the key
     * @param min the minimum
     * @param max the maximum
     * @param defaultValue the value to return if none is set
     * @return the value
     */
    public long number(String section, String key, long min, long max, long defaultValue) {
        String expectation = "a whole number from " + min + " to " + max;
        return value(section, key, expectation, v -> {
                    long n = Long.parseLong(v);
                    if (n < min || n > max) {
                        throw new IllegalArgumentException(v);
                    }
                    return n;
                })
                .orElse(defaultValue);
    }

    /**
     * Reads a boolean.
     *
     * @param section the section
     * @param key the key
     * @param defaultValue the value to return if none is set
     * @return the value
     */
    public boolean flag(String section, String key, boolean defaultValue) {
        return value(section, key, "true or false", v -> switch (v) {
                    case "true" -> true;
                    case "false" -> false;
                    default -> throw new IllegalArgumentException(v);
                })
                .orElse(defaultValue);
    }

    /**
     * Reads an address.
     *
     * @param section the section
     * @param key the key
     * @return the address, empty if the key is missing or the value is invalid
     */
    public Optional<Endpoint> endpoint(String section, String key) {
        return value(section, key, "IP:PORT", IniReader::parseEndpoint);
    }

    /**
     * Reads how strongly calls are kept inside their data centre: key {@code locality} of section {@code routing}.
     *
     * @return the locality, {@link Locality#STANDARD} if the key is missing or the value is invalid
     */
    public Locality locality() {
        return value(
                        "routing",
                        "locality",
                        "one of " + Locality.names(),
                        v -> Locality.named(v).orElseThrow(() -> new IllegalArgumentException(v)))
                .orElse(Locality.STANDARD);
    }

    /**
     * Parses an address.
     *
     * @param text IP address and port, separated by a colon
     * @return the address
     */
    public static Endpoint parseEndpoint(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(text);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    /**
     * Adds a problem.
     *
     * @param code the kind of problem
     * @param details the section, the key and the other arguments of the message
     */
    public void addProblem(ErrorCode code, String... details) {
        Object[] arguments = new Object[details.length + 1];
        arguments[0] = file;
        System.arraycopy(details, 0, arguments, 1, details.length);
        problems.add(VerbenadykeException.describe(code, arguments));
    }

    /**
     * Returns the problems found so far.
     *
     * @return the problems in the order in which they were found
     */
    public List<String> problems() {
        return List.copyOf(problems);
    }
}
