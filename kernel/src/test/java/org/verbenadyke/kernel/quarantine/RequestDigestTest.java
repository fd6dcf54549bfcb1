package org.verbenadyke.kernel.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Tests which requests have the same {@link RequestDigest}. */
final class RequestDigestTest {
    private static final HeaderField HOST = new HeaderField("Host", "a.example");
    private static final RequestDigest USUAL = digest("GET", "/p/1?q=2", "b", HOST);

    @Test
    void isTheSameForEveryAttemptAndRetry() {
        HeaderField id = new HeaderField("x-request-id", "1");
        assertEquals(USUAL, digest("GET", "/p/1?q=2", "b", id, HOST));
        assertEquals(USUAL, digest("GET", "/p/1?q=2", "b", new HeaderField("host", "a.example")));
    }

    @Test
    void differsByMethodPathBodyAndHost() {
        assertNotEquals(USUAL, digest("PUT", "/p/1?q=2", "b", HOST));
        assertNotEquals(USUAL, digest("GET", "/p/1?q=3", "b", HOST));
        assertNotEquals(USUAL, digest("GET", "/p/1?q=2", "c", HOST));
        assertNotEquals(USUAL, digest("GET", "/p/1?q=2", "b", new HeaderField("Host", "b.example")));
        assertNotEquals(digest("GET", "/p", "ab"), digest("GET", "/pa", "b"));
    }

    @Test
    void differsByTheCredentialsOfTheCaller() {
        assertNotEquals(USUAL, digest("GET", "/p/1?q=2", "b", HOST, new HeaderField("Api-Key", "k")));
        assertNotEquals(USUAL, digest("GET", "/p/1?q=2", "b", HOST, new HeaderField("Authorization", "k")));
    }

    private static RequestDigest digest(String method, String path, String body, HeaderField... fields) {
        return RequestDigest.of(
                new Message.Content(method, path, List.of(fields), body.getBytes(StandardCharsets.UTF_8)));
    }
}
