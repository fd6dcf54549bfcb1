package org.verbenadyke.node.trace;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.util.IndexedReadOnlyStringMap;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes each log event as one line of JSON with the event's time, level, logger name ({@code part}) and message, and
 * the stack trace of an error. The message of a structured event is a JSON object.
 */
final class JsonLineLayout extends AbstractStringLayout {
    private static final int MILLI_DIGITS = 3;
    private static final DateTimeFormatter TIME =
            new DateTimeFormatterBuilder().appendInstant(MILLI_DIGITS).toFormatter();

    private final JsonFactory json = new JsonFactory();

    private JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    static JsonLineLayout create() {
        return new JsonLineLayout();
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator g = json.createGenerator(line)) {
            g.writeStartObject();
            g.writeStringField("time", TIME.format(Instant.ofEpochMilli(event.getTimeMillis())));
            g.writeStringField("level", event.getLevel().name());
            g.writeStringField("part", event.getLoggerName());
            writeMessage(g, event);
            if (event.getThrown() != null) {
                g.writeStringField("error", stackTrace(event.getThrown()));
            }
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return line.append('\n').toString();
    }

    private static void writeMessage(JsonGenerator g, LogEvent event) throws IOException {
        if (!(event.getMessage() instanceof MapMessage<?, ?> map)) {
            g.writeStringField("message", event.getMessage().getFormattedMessage());
            return;
        }
        g.writeObjectFieldStart("message");
        IndexedReadOnlyStringMap fields = map.getIndexedReadOnlyStringMap();
        for (int i = 0; i < fields.size(); i++) {
            g.writeFieldName(fields.getKeyAt(i));
            writeValue(g, fields.getValueAt(i));
        }
        g.writeEndObject();
    }

    private static void writeValue(JsonGenerator g, Object value) throws IOException {
        switch (value) {
            case Long n -> g.writeNumber(n);
            case Integer n -> g.writeNumber(n);
            case Boolean b -> g.writeBoolean(b);
            case null -> g.writeNull();
            default -> g.writeString(value.toString());
        }
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
