package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's store, as far as nodes call it: keyed topics of one partition, with appends, reads that wait for a
 * record, and the newest record of each key. It loses nothing and answers at once.
 */
final class Store implements AutoCloseable {
    private final ServerSocket listener;
    private final Map<String, List<Entry>> topics = new HashMap<>();

    private record Entry(String key, byte[] value) {}

    Store(int port) throws IOException {
        listener = new ServerSocket(port, 500, InetAddress.getByName("127.0.0.1"));
        Thread.ofPlatform().daemon().start(this::accept);
    }

    /** Appends a record and returns its offset. */
    synchronized long append(String topic, String key, byte[] value) {
        List<Entry> entries = topic(topic);
        entries.add(new Entry(key, value));
        notifyAll();
        return entries.size() - 1;
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = new Http.Message();
                Http.readHead(in, request);
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                if (!request.field("Content-Length").isEmpty()) {
                    Http.copy(in, body, Integer.parseInt(request.field("Content-Length")));
                }
                answer(socket, request.start.split(" ")[1], body.toByteArray());
            }
        } catch (IOException e) {
            // The connection ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, String target, byte[] body) throws IOException, InterruptedException {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, Math.max(0, equals)), pair.substring(equals + 1));
        }
        String topic = query.getOrDefault("topic", "");
        int status = 200;
        byte[] answer;
        if (target.startsWith("/-/log-append")) {
            answer = appended(topic, body);
        } else if (target.startsWith("/-/log-newest")) {
            answer = newest(topic);
        } else if (target.startsWith("/-/log-read")) {
            answer = read(topic, Long.parseLong(query.get("from")), Long.parseLong(query.getOrDefault("wait-ms", "0")));
            if (answer.length == 0) {
                status = 410;
                answer = "{\"first\":0}".getBytes(StandardCharsets.UTF_8);
            }
        } else {
            status = 404;
            answer = new byte[0];
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("HTTP/1.1 " + status + " Status\r\nStore-Era: 5\r\nContent-Length: " + answer.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(answer);
        socket.getOutputStream().write(bytes.toByteArray());
    }

    private synchronized byte[] appended(String topic, byte[] body) {
        ByteBuffer records = ByteBuffer.wrap(body);
        long first = topic(topic).size();
        while (records.remaining() >= Integer.BYTES) {
            byte[] content = new byte[records.getInt()];
            records.get(content);
            int keyEnd = 1 + (content[0] & 0xff);
            append(topic, new String(content, 1, keyEnd - 1, StandardCharsets.UTF_8),
                    Arrays.copyOfRange(content, keyEnd, content.length));
        }
        return ("{\"offset\":" + first + ",\"end\":" + topic(topic).size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] newest(String topic) {
        Map<String, String> items = new LinkedHashMap<>();
        List<Entry> entries = topic(topic);
        for (int i = 0; i < entries.size(); i++) {
            Entry e = entries.get(i);
            items.remove(e.key());
            if (e.value().length > 0) {
                items.put(e.key(), "{\"key\":\"" + e.key() + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(e.value()) + "\",\"offset\":" + i + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + entries.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the records from an offset on, once there is one; empty if the log doesn't have the offset. */
    private synchronized byte[] read(String topic, long from, long waitMillis) throws IOException, InterruptedException {
        List<Entry> entries = topic(topic);
        if (from < 0 || from > entries.size()) {
            return new byte[0];
        }
        long end = System.nanoTime() + waitMillis * 1_000_000L;
        for (long left = waitMillis; entries.size() <= from && left > 0; left = (end - System.nanoTime()) / 1_000_000L) {
            wait(left);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry e : entries.subList((int) from, entries.size())) {
            byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + e.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(e.value());
        }
        return bytes.toByteArray();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
