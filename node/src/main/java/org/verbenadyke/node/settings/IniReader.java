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

/**
 * Reads an INI file and collects everything that is wrong with it, each problem with file, section and key.
 */
public final class IniReader {
    private static final int PORT_MOST = 65_535;

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
     * Returns the sections.
     *
     * @return their names
     */
    public Set<String> sections() {
        return ini.getSections();
    }

    /**
     * Notes sections that must be there or are not known.
     *
     * @param required the sections that must be there
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
     * Notes keys that are not known in a section.
     *
     * @param section the section
     * @param known the keys that are
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
     * Reads a text.
     *
     * @param section the section
     * @param key the key
     * @return the value, if it is there and not empty
     */
    public Optional<String> text(String section, String key) {
        SubnodeConfiguration s = ini.getSection(section);
        return Optional.ofNullable(s.getString(key)).map(String::strip).filter(v -> !v.isEmpty());
    }

    /**
     * Reads a text that must be there.
     *
     * @param section the section
     * @param key the key
     * @return the value; empty after a problem was noted
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
     * @param what what the value must be, for the message
     * @param convert converts it, throwing {@link IllegalArgumentException} when it can't
     * @param <T> the type of the value
     * @return the value, empty when it isn't there or a problem was noted
     */
    public <T> Optional<T> value(String section, String key, String what, Function<String, T> convert) {
        Optional<String> text = text(section, key);
        try {
            return text.map(convert);
        } catch (IllegalArgumentException e) {
            addProblem(ErrorCode.SETTINGS_BAD_VALUE, section, key, text.orElse(""), "must be " + what);
            return Optional.empty();
        }
    }

    /**
     * Reads a whole number.
     *
     * @param section the section
     * @param key the key
     * @param least the least value
     * @param most the most
     * @param otherwise the value when none is set
     * @return the value
     */
    public long number(String section, String key, long least, long most, long otherwise) {
        String what = "a whole number from " + least + " to " + most;
        return value(section, key, what, v -> {
                    long n = Long.parseLong(v);
                    if (n < least || n > most) {
                        throw new IllegalArgumentException(v);
                    }
                    return n;
                })
                .orElse(otherwise);
    }

    /**
     * Reads a yes or no.
     *
     * @param section the section
     * @param key the key
     * @param otherwise the value when none is set
     * @return the value
     */
    public boolean flag(String section, String key, boolean otherwise) {
        return value(section, key, "true or false", v -> switch (v) {
                    case "true" -> true;
                    case "false" -> false;
                    default -> throw new IllegalArgumentException(v);
                })
                .orElse(otherwise);
    }

    /**
     * Reads an address.
     *
     * @param section the section
     * @param key the key
     * @return the address, empty when it isn't there or a problem was noted
     */
    public Optional<Endpoint> endpoint(String section, String key) {
        return value(section, key, "IP:PORT", IniReader::parseEndpoint);
    }

    /**
     * Parses an address.
     *
     * @param text IP number and port with a colon between
     * @return the address
     */
    public static Endpoint parseEndpoint(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException(text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > PORT_MOST) {
            throw new IllegalArgumentException(text);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    /**
     * Notes a problem.
     *
     * @param code the kind
     * @param details section, key and what else the message names
     */
    public void addProblem(ErrorCode code, String... details) {
        Object[] arguments = new Object[details.length + 1];
        arguments[0] = file;
        System.arraycopy(details, 0, arguments, 1, details.length);
        problems.add(VerbenadykeException.describe(code, arguments));
    }

    /**
     * Returns what is wrong.
     *
     * @return the problems in the order they were found
     */
    public List<String> problems() {
        return List.copyOf(problems);
    }
}
