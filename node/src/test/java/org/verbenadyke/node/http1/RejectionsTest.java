package org.verbenadyke.node.http1;

import org.junit.jupiter.api.Test;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link Rejections}. */
final class RejectionsTest {
    @Test
    void namesWhatTheDecoderFailedToRead() {
        assertEquals(
                431, Rejections.statusOf(new TooLongHttpHeaderException("h")).code());
        assertEquals(414, Rejections.statusOf(new TooLongHttpLineException("l")).code());
        assertEquals(400, Rejections.statusOf(new IllegalArgumentException("x")).code());
    }

    /** A caller must not send its next request on a connection whose rest is not read. */
    @Test
    void announcesTheEndOfTheConnection() {
        FullHttpResponse response = Rejections.response(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        assertEquals("close", response.headers().get("connection"));
        assertEquals("0", response.headers().get("content-length"));
    }
}
