package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A plain HTTP/1.1 reader for clients and servers of the stand-ins. */
final class Http {
    private Http() {}

    /** A message's head, and the body that was read. */
    static class Message {
        String start = "";
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = {};

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** An answer, or what came of it. */
    static final class Answer extends Message {
        /** 0 without an answer. */
        int status;
        /** Whether head and body came whole. */
        boolean complete;
        /** What ended the connection, if it ended early. */
        String end = "";
        long millis;

        boolean signed() {
            return !field("X-Server-Signature").isEmpty();
        }

        @Override
        public String toString() {
            return "status " + status + (signed() ? " signed " + field("X-Server-Signature") : " unsigned") + " id "
                    + field("X-Request-Id") + ", " + body.length + " bytes of body, "
                    + (complete ? "complete" : "incomplete: " + end) + ", " + millis + " ms";
        }
    }

    /** Sends one request on a connection of its own and reads the answer. */
    static Answer once(int port, String request, int timeoutMillis) {
        Answer answer = new Answer();
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            readAnswer(socket.getInputStream(), answer);
        } catch (IOException e) {
            answer.end = e.toString();
        }
        answer.millis = (System.nanoTime() - start) / 1_000_000L;
        return answer;
    }

    /** Reads an answer; what is there of an incomplete one stays in it. */
    static void readAnswer(InputStream in, Answer answer) throws IOException {
        readHead(in, answer);
        String[] words = answer.start.split(" ");
        answer.status = Integer.parseInt(words[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (answer.field("Transfer-Encoding").contains("chunked")) {
                readChunks(in, body);
            } else if (answer.fields.containsKey("content-length")) {
                copy(in, body, Integer.parseInt(answer.field("Content-Length")));
            } else if (answer.status != 204 && answer.status != 304 && answer.status >= 200) {
                in.transferTo(body);
            }
            answer.complete = true;
        } finally {
            answer.body = body.toByteArray();
        }
    }

    static void readHead(InputStream in, Message message) throws IOException {
        message.start = line(in);
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            if (colon < 0) {
                throw new IOException("no colon in a header line: " + l);
            }
            message.fields.putIfAbsent(
                    l.substring(0, colon).trim().toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
    }

    static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            int size = Integer.parseInt(line(in).trim(), 16);
            copy(in, body, size);
            line(in);
            if (size == 0) {
                return;
            }
        }
    }

    static void copy(InputStream in, ByteArrayOutputStream to, int bytes) throws IOException {
        byte[] buffer = new byte[8192];
        int left = bytes;
        while (left > 0) {
            int n = in.read(buffer, 0, Math.min(buffer.length, left));
            if (n < 0) {
                throw new EOFException("closed with " + left + " bytes missing");
            }
            to.write(buffer, 0, n);
            left -= n;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException(line.size() == 0 ? "closed before an answer" : "closed in a head");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
