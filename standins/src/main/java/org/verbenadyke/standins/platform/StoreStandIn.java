package org.verbenadyke.standins.platform;

import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.node.http1.HttpExchange;
import org.verbenadyke.node.http1.HttpServer;
import org.verbenadyke.node.http1.ServerLimits;
import org.verbenadyke.node.transport.EventLoops;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for the platform's store: keyed topics with one partition, long polling reads, and faults that can be
 * switched while the store runs.
 */
public final class StoreStandIn implements AutoCloseable {
    /** The topic that operators write to. */
    public static final String OPERATORS = "keyed.op";

    /** The key of the configuration. */
    public static final String CONFIGURATION = "config";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ServerLimits LIMITS = new ServerLimits(16 * 1024, 4 * 1024 * 1024, 60_000_000_000L);
    private static final long POLL_INTERVAL_NANOS = 5_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_PAGE_RECORDS = 500;
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final byte[] EMPTY_BODY = {};

    private static final String ERA_HEADER = "Store-Era";

    private final Map<String, KeyedTopic> topics = new ConcurrentHashMap<>();
    private final Map<String, KeyedTopic> snapshot = new ConcurrentHashMap<>();
    private final TimerService timers;
    private final AtomicInteger calls = new AtomicInteger();
    private final EventLoops loops;
    private final List<StoreDoor> doors = new CopyOnWriteArrayList<>();
    private volatile String era = "5";

    private StoreStandIn(EventLoops loops, TimerService timers) {
        this.loops = loops;
        this.timers = timers;
    }

    /**
     * Starts a store.
     *
     * @param endpoint the address to listen on
     * @param loops the event loops that serve the connections
     * @param timers the clock and timers
     * @return the store
     */
    public static StoreStandIn listen(Endpoint endpoint, EventLoops loops, TimerService timers) {
        StoreStandIn store = new StoreStandIn(loops, timers);
        store.openDoor(endpoint);
        return store;
    }

    /**
     * Listens on a further address.
     *
     * @param endpoint the address
     * @return the address's switch for faults
     */
    public StoreDoor openDoor(Endpoint endpoint) {
        StoreDoor door = new StoreDoor();
        door.attach(HttpServer.listen(endpoint, loops, timers, () -> LIMITS, e -> handle(e, door)));
        doors.add(door);
        return door;
    }

    /**
     * Writes a record, as an operator does.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value
     */
    public void write(String topic, String key, String value) {
        write(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes a record of any bytes, as another writer may.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value
     */
    public void write(String topic, String key, byte[] value) {
        topic(topic).append(key, value);
    }

    /**
     * Sets the fault that applies to subsequent calls at all addresses.
     *
     * @param newFault the fault
     */
    public void fault(StoreFault newFault) {
        doors.forEach(d -> d.fault(newFault));
    }

    /** Compacts all topics: only the latest record of each key stays. */
    public void compact() {
        topics.values().forEach(KeyedTopic::compact);
    }

    /** Takes a snapshot of all topics for {@link #restoreSnapshot}, replacing any earlier snapshot. */
    public void takeSnapshot() {
        snapshot.clear();
        topics.forEach((name, topic) -> snapshot.put(name, topic.copy()));
    }

    /**
     * Restores the snapshot: records written since are lost, and their offsets are assigned again. Reads in progress
     * wait for records of the new history.
     *
     * @param newEra the identifier of the new history, which all later answers carry
     */
    public void restoreSnapshot(String newEra) {
        topics.clear();
        snapshot.forEach((name, topic) -> topics.put(name, topic.copy()));
        era = newEra;
    }

    /**
     * Returns whether a topic has a record of a key.
     *
     * @param topic the topic
     * @param key the key
     * @return whether the topic has such a record
     */
    public boolean holds(String topic, String key) {
        return topic(topic).latest().stream().anyMatch(e -> e.key().equals(key));
    }

    /**
     * Returns the number of calls received so far.
     *
     * @return the number of calls, including refused ones
     */
    public int calls() {
        return calls.get();
    }

    @Override
    public void close() {
        doors.forEach(StoreDoor::close);
    }

    private KeyedTopic topic(String name) {
        return topics.computeIfAbsent(name, n -> new KeyedTopic());
    }

    private void handle(HttpExchange exchange, StoreDoor door) {
        calls.incrementAndGet();
        StoreFault fault = door.fault();
        switch (fault) {
            case REFUSES -> answer(exchange, UNAVAILABLE, EMPTY_BODY);
            case SILENT -> exchange.onCallerDisconnected(() -> {});
            case GARBLES -> exchange.answer(OK, List.of(), new byte[] {1, 2, 3});
            case LOSES_ANSWERS -> perform(exchange, door, false);
            case NONE -> perform(exchange, door, true);
            default -> throw new IllegalStateException(fault.name());
        }
    }

    private void perform(HttpExchange exchange, StoreDoor door, boolean sendAnswer) {
        String target = exchange.request().target();
        Map<String, String> query = query(target);
        KeyedTopic topic = topic(query.get("topic"));
        if (target.startsWith("/-/log-append")) {
            append(exchange, topic, sendAnswer);
        } else if (sendAnswer && target.startsWith("/-/log-newest")) {
            answer(exchange, OK, latestRecords(topic, query.getOrDefault("after", "")));
        } else if (sendAnswer) {
            long waitNanos = Long.parseLong(query.getOrDefault("wait-ms", "0")) * NANOS_PER_MILLI;
            long from = Long.parseLong(query.get("from"));
            read(exchange, door, query.get("topic"), from, timers.nanos() + waitNanos);
        }
    }

    private void answer(HttpExchange exchange, int status, byte[] body) {
        exchange.answer(status, List.of(new HeaderField(ERA_HEADER, era)), body);
    }

    private void append(HttpExchange exchange, KeyedTopic topic, boolean sendAnswer) {
        ByteBuffer in = ByteBuffer.wrap(exchange.request().body());
        byte[] content = new byte[in.getInt()];
        in.get(content);
        int keyEnd = 1 + content[0];
        String key = new String(content, 1, content[0], StandardCharsets.UTF_8);
        long offset = topic.append(key, Arrays.copyOfRange(content, keyEnd, content.length));
        if (sendAnswer) {
            String answer = "{\"offset\":" + offset + ",\"end\":" + topic.endOffset() + "}";
            answer(exchange, OK, answer.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Returns one page of the newest records, whose keys come after another one. */
    private static byte[] latestRecords(KeyedTopic topic, String after) {
        // The end is read before the records: a record appended in between is read twice rather than skipped.
        long end = topic.endOffset();
        ObjectNode root = JSON.createObjectNode();
        ArrayNode items = root.putArray("items");
        boolean more = false;
        int bytes = 0;
        for (KeyedTopic.Entry e : topic.latestAfter(after)) {
            more = items.size() == MAX_PAGE_RECORDS
                    || bytes > 0 && bytes + e.value().length > KeyedTopic.MAX_PAGE_BYTES;
            if (more) {
                break;
            }
            bytes += e.value().length;
            items.addObject()
                    .put("key", e.key())
                    .put("value", Base64.getEncoder().encodeToString(e.value()))
                    .put("offset", e.offset());
        }
        root.put("more", more).put("end", end);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void read(HttpExchange exchange, StoreDoor door, String name, long from, long deadlineNanos) {
        KeyedTopic topic = topic(name);
        if (from < topic.firstOffset() || from > topic.endOffset()) {
            String body = "{\"first\":" + topic.firstOffset() + "}";
            answer(exchange, GONE, body.getBytes(StandardCharsets.UTF_8));
        } else if (topic.endOffset() > from || timers.nanos() >= deadlineNanos) {
            answer(exchange, OK, topic.read(from));
        } else {
            int silences = door.silences();
            door.adjustPolls(1);
            timers.after(POLL_INTERVAL_NANOS, () -> {
                door.adjustPolls(-1);
                if (door.silences() == silences) {
                    read(exchange, door, name, from, deadlineNanos);
                }
            });
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                String value = URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                query.put(pair.substring(0, equals), value);
            }
        }
        return query;
    }
}
