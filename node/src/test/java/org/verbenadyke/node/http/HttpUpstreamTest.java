package org.verbenadyke.node.http;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.RepeatedTest;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.serve.UpstreamPort;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link HttpUpstream}. */
final class HttpUpstreamTest extends HttpUpstreamFixture {
    @RepeatedTest(20)
    void sendsRequestsStartedRightAfterCreation() throws IOException {
        HttpUpstream upstream = upstream();
        send(upstream);
        send(upstream);
        assertEquals('G', firstByteOfNextConnection());
        assertEquals('G', firstByteOfNextConnection());
        upstream.close();
    }

    private int firstByteOfNextConnection() throws IOException {
        Socket connection = accept();
        connection.setSoTimeout(TIMEOUT_MILLIS);
        return connection.getInputStream().read();
    }

    private static void send(UpstreamPort upstream) {
        Message.Content content = new Message.Content("GET", "/p", List.of(), new byte[0]);
        upstream.start(
                new UpstreamPort.HandOver(content, "t", new RequestId(1, 1), Importance.NORMAL, 1_000_000_000L),
                new IgnoringListener());
    }

    /** Ignores all answers; the test checks only what the server receives. */
    private static final class IgnoringListener implements UpstreamPort.Listener {
        @Override
        public void notRun() {
            // Ignored.
        }

        @Override
        public void unreachable() {
            // Ignored.
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            // Ignored.
        }

        @Override
        public void data(byte[] bytes) {
            // Ignored.
        }

        @Override
        public void end() {
            // Ignored.
        }

        @Override
        public void broken() {
            // Ignored.
        }

        @Override
        public void upstreamCrashed() {
            // Ignored.
        }
    }
}
