package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.config.ConfigEntry;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.config.ImportanceRule;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.RecordCodec;

/**
 * Encodes configuration entries for the log and for gossip.
 */
public final class ConfigCodec implements RecordCodec<ConfigEntry> {
    private static final byte CHANGE = 0;
    private static final byte SNAPSHOT = 1;
    private static final int ITEMS_MOST = 10_000;

    private ConfigCodec() {}

    /**
     * Creates a codec.
     *
     * @return the codec
     */
    public static ConfigCodec create() {
        return new ConfigCodec();
    }

    @Override
    public byte[] encode(ConfigEntry entry) {
        try (MessageBufferPacker p = Buffers.packer()) {
            switch (entry) {
                case ConfigEntry.Change c -> packChange(p, c);
                case ConfigEntry.Snapshot s -> {
                    p.packByte(SNAPSHOT);
                    packState(p, s.state());
                }
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public ConfigEntry decode(byte[] bytes) {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            byte kind = u.unpackByte();
            return switch (kind) {
                case CHANGE -> unpackChange(u);
                case SNAPSHOT -> new ConfigEntry.Snapshot(unpackState(u));
                default -> throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, "configuration entry " + kind);
            };
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, "configuration entry");
        }
    }

    static void packState(MessagePacker p, ConfigState s) throws IOException {
        Configuration c = s.configuration();
        p.packLong(c.version()).packInt(c.retries());
        packRules(p, c.rules());
        packNames(p, c.leaving());
        p.packLong(s.offset()).packArrayHeader(s.decisions().size());
        for (ConfigState.Decision d : s.decisions()) {
            p.packString(d.id()).packBoolean(d.tookEffect()).packLong(d.version());
            p.packString(d.author()).packLong(d.atMillis());
        }
    }

    static ConfigState unpackState(MessageUnpacker u) throws IOException {
        Configuration c = new Configuration(u.unpackLong(), u.unpackInt(), unpackRules(u), unpackNames(u));
        long offset = u.unpackLong();
        int n = items(u);
        List<ConfigState.Decision> decisions = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            decisions.add(new ConfigState.Decision(
                    u.unpackString(), u.unpackBoolean(), u.unpackLong(), u.unpackString(), u.unpackLong()));
        }
        return new ConfigState(c, offset, List.copyOf(decisions));
    }

    private static void packChange(MessagePacker p, ConfigEntry.Change c) throws IOException {
        p.packByte(CHANGE);
        p.packString(c.id()).packLong(c.base()).packInt(c.retries());
        packRules(p, c.rules());
        packNames(p, c.leaving());
        p.packString(c.author()).packLong(c.atMillis());
    }

    private static ConfigEntry.Change unpackChange(MessageUnpacker u) throws IOException {
        return new ConfigEntry.Change(
                u.unpackString(),
                u.unpackLong(),
                u.unpackInt(),
                unpackRules(u),
                unpackNames(u),
                u.unpackString(),
                u.unpackLong());
    }

    private static void packRules(MessagePacker p, List<ImportanceRule> rules) throws IOException {
        p.packArrayHeader(rules.size());
        for (ImportanceRule r : rules) {
            p.packString(r.service()).packString(r.method()).packString(r.pathPrefix());
            p.packInt(r.importance().ordinal());
        }
    }

    private static List<ImportanceRule> unpackRules(MessageUnpacker u) throws IOException {
        int n = items(u);
        List<ImportanceRule> rules = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            rules.add(new ImportanceRule(
                    u.unpackString(), u.unpackString(), u.unpackString(), Importance.values()[u.unpackInt()]));
        }
        return List.copyOf(rules);
    }

    private static void packNames(MessagePacker p, Set<String> names) throws IOException {
        p.packArrayHeader(names.size());
        for (String name : new TreeSet<>(names)) {
            p.packString(name);
        }
    }

    private static Set<String> unpackNames(MessageUnpacker u) throws IOException {
        int n = items(u);
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            names.add(u.unpackString());
        }
        return Set.copyOf(names);
    }

    private static int items(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > ITEMS_MOST) {
            throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, n + " items");
        }
        return n;
    }
}
