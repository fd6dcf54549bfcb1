package org.verbenadyke.node.trace;

import java.io.IOException;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link JsonLineLayout}. */
final class JsonLineLayoutTest {
    private static final long TIME = 1_800_000_000_007L;

    @Test
    void writesATextMessageAsOneLine() throws IOException {
        String line = line(new SimpleMessage("Says \"this\"\nand that."), null);
        assertTrue(line.endsWith("\n"));
        assertEquals(line.length() - 1, line.indexOf('\n'));
        JsonNode parsed = new ObjectMapper().readTree(line);
        assertEquals("2027-01-15T08:00:00.007Z", parsed.path("time").asText());
        assertEquals("INFO", parsed.path("level").asText());
        assertEquals("node", parsed.path("part").asText());
        assertEquals("Says \"this\"\nand that.", parsed.path("message").asText());
        assertFalse(parsed.has("error"));
    }

    @Test
    void writesTheFieldsOfADecisionAsAnObject() throws IOException {
        StringMapMessage decision = new StringMapMessage()
                .with("event", "refused")
                .with("heldMs", 12L)
                .with("granted", true);
        JsonNode message = new ObjectMapper().readTree(line(decision, null)).path("message");
        assertEquals("refused", message.path("event").asText());
        assertEquals(12, Integer.parseInt(message.path("heldMs").asText()));
        assertTrue(message.path("granted").asBoolean());
    }

    @Test
    void writesTheStackTraceOfAnError() throws IOException {
        JsonNode parsed = new ObjectMapper()
                .readTree(line(new SimpleMessage("Failed."), new IllegalStateException("broken pipe")));
        assertTrue(parsed.path("error").asText().contains("broken pipe"));
    }

    private static String line(Message message, Throwable thrown) {
        return JsonLineLayout.create()
                .toSerializable(Log4jLogEvent.newBuilder()
                        .setLoggerName("node")
                        .setLevel(Level.INFO)
                        .setMessage(message)
                        .setThrown(thrown)
                        .setTimeMillis(TIME)
                        .build());
    }
}
