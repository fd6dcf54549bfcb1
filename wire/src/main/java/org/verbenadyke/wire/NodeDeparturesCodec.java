package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.RecordCodec;

/**
 * Encodes departures for the log and for gossip. A record of the log begins with a number, so that it can't be mistaken
 * for a member record, which begins with a name.
 */
public final class NodeDeparturesCodec implements RecordCodec<NodeDepartures> {
    /** The layouts below this one are those of other records. */
    private static final int LAYOUT_VERSION = 2;

    /** The highest number of nodes in a datagram. */
    private static final int MAX_NODES = 64;

    private NodeDeparturesCodec() {}

    /**
     * Creates a codec.
     *
     * @return the codec
     */
    public static NodeDeparturesCodec create() {
        return new NodeDeparturesCodec();
    }

    @Override
    public byte[] encode(NodeDepartures record) {
        try (MessageBufferPacker p = Buffers.packer()) {
            p.packInt(LAYOUT_VERSION);
            pack(p, record);
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public NodeDepartures decode(byte[] bytes) {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            int layout = u.unpackInt();
            if (layout != LAYOUT_VERSION) {
                throw malformed("layout " + layout);
            }
            return unpack(u);
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw malformed("the bytes are no departures");
        }
    }

    static void packAll(MessagePacker p, List<NodeDepartures> nodes) throws IOException {
        p.packArrayHeader(nodes.size());
        for (NodeDepartures node : nodes) {
            pack(p, node);
        }
    }

    static List<NodeDepartures> unpackAll(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MAX_NODES) {
            throw malformed("departures of " + n + " nodes");
        }
        List<NodeDepartures> nodes = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            nodes.add(unpack(u));
        }
        return nodes;
    }

    private static void pack(MessagePacker p, NodeDepartures node) throws IOException {
        p.packString(node.nodeId()).packArrayHeader(node.starts().size());
        for (DepartedStart d : node.starts()) {
            p.packString(d.start().id());
            OptionalLong started = d.start().startedMillis();
            if (started.isPresent()) {
                p.packLong(started.getAsLong());
            } else {
                p.packNil();
            }
            p.packLong(d.sequence()).packLong(d.announcedMillis());
        }
    }

    private static NodeDepartures unpack(MessageUnpacker u) throws IOException {
        String nodeId = u.unpackString();
        int n = u.unpackArrayHeader();
        if (n > NodeDepartures.MAX_STARTS) {
            throw malformed(n + " departures");
        }
        List<DepartedStart> starts = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            String id = u.unpackString();
            OptionalLong started = u.tryUnpackNil() ? OptionalLong.empty() : OptionalLong.of(u.unpackLong());
            starts.add(new DepartedStart(new UpstreamStart(id, started), u.unpackLong(), u.unpackLong()));
        }
        return new NodeDepartures(nodeId, starts);
    }

    private static VerbenadykeException malformed(String reason) {
        return VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, reason);
    }
}
