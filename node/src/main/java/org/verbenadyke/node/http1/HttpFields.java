package org.verbenadyke.node.http1;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.verbenadyke.kernel.call.HeaderField;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Header fields as lists, in their order on the wire.
 */
public final class HttpFields {
    /** The length of a body. */
    public static final String CONTENT_LENGTH = "content-length";

    /** The server that a request is for. */
    public static final String HOST = "host";

    /** When a refused caller may come back. */
    public static final String RETRY_AFTER = "retry-after";

    /** How a caller that isn't known is to say who it is. */
    public static final String WWW_AUTHENTICATE = "www-authenticate";

    /** Whether a connection stays open. */
    public static final String CONNECTION = "connection";

    /** How long a connection is kept without a request. */
    public static final String KEEP_ALIVE = "keep-alive";

    private static final Set<String> ONE_CONNECTION = Set.of(
            CONNECTION,
            KEEP_ALIVE,
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private static final Set<String> USUAL = Set.of(KEEP_ALIVE, "close");
    private static final Pattern COMMA = Pattern.compile("\\s*,\\s*");

    private HttpFields() {}

    /**
     * Finds a field.
     *
     * @param fields the fields
     * @param name its name, in lower case
     * @return its first value
     */
    public static Optional<String> find(List<HeaderField> fields, String name) {
        for (HeaderField f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                return Optional.of(f.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Finds all fields of a name.
     *
     * @param fields the fields
     * @param name the name, in lower case
     * @return their values, in their order on the wire
     */
    public static List<String> findAll(List<HeaderField> fields, String name) {
        return fields.stream()
                .filter(f -> f.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .toList();
    }

    /**
     * Returns the fields that concern the request or answer, without those that concern one connection only.
     *
     * @param fields the fields
     * @return those that are passed on, the length of the body among them
     */
    public static List<HeaderField> endToEnd(List<HeaderField> fields) {
        Set<String> named = named(fields);
        List<HeaderField> kept = new ArrayList<>(fields.size());
        for (HeaderField f : fields) {
            String name = f.name().toLowerCase(Locale.ROOT);
            if (!ONE_CONNECTION.contains(name) && !named.contains(name)) {
                kept.add(f);
            }
        }
        return kept;
    }

    static List<HeaderField> of(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> e : headers) {
            fields.add(new HeaderField(e.getKey(), e.getValue()));
        }
        return fields;
    }

    static HttpHeaders headers(List<HeaderField> fields) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        fields.forEach(f -> headers.add(f.name(), f.value()));
        return headers;
    }

    /** The fields that a Connection field names as its own. */
    private static Set<String> named(List<HeaderField> fields) {
        Optional<String> connection = find(fields, CONNECTION);
        if (connection.isEmpty() || USUAL.contains(connection.get().toLowerCase(Locale.ROOT))) {
            return Set.of();
        }
        return new HashSet<>(
                List.of(COMMA.split(connection.get().toLowerCase(Locale.ROOT).strip())));
    }
}
