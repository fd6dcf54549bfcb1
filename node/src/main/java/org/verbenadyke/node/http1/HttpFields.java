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
 * Helpers for header fields that are kept as lists, in their order on the wire.
 */
public final class HttpFields {
    /** The length of a body. */
    public static final String CONTENT_LENGTH = "content-length";

    /** The host that a request is addressed to. */
    public static final String HOST = "host";

    /** How long a refused caller should wait before a retry. */
    public static final String RETRY_AFTER = "retry-after";

    /** The authentication scheme that an unidentified caller must use. */
    public static final String WWW_AUTHENTICATE = "www-authenticate";

    /** Connection options, such as whether the connection stays open. */
    public static final String CONNECTION = "connection";

    /** How long an idle connection is kept open. */
    public static final String KEEP_ALIVE = "keep-alive";

    private static final Set<String> HOP_BY_HOP = Set.of(
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

    private static final Set<String> COMMON_CONNECTION_OPTIONS = Set.of(KEEP_ALIVE, "close");
    private static final Pattern COMMA = Pattern.compile("\\s*,\\s*");

    private HttpFields() {}

    /**
     * Finds a field by its name.
     *
     * @param fields the fields
     * @param name the name, in lower case
     * @return the first value, empty if there is no such field
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
     * Returns the end-to-end fields: all but the hop-by-hop fields and those that a Connection field lists.
     *
     * @param fields the fields
     * @return the fields to forward, which include the length of the body
     */
    public static List<HeaderField> endToEnd(List<HeaderField> fields) {
        Set<String> named = connectionOptions(fields);
        List<HeaderField> kept = new ArrayList<>(fields.size());
        for (HeaderField f : fields) {
            String name = f.name().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name)) {
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

    /** Returns the names of the fields that the Connection field marks as hop-by-hop. */
    private static Set<String> connectionOptions(List<HeaderField> fields) {
        Optional<String> connection = find(fields, CONNECTION);
        if (connection.isEmpty()
                || COMMON_CONNECTION_OPTIONS.contains(connection.get().toLowerCase(Locale.ROOT))) {
            return Set.of();
        }
        return new HashSet<>(
                List.of(COMMA.split(connection.get().toLowerCase(Locale.ROOT).strip())));
    }
}
