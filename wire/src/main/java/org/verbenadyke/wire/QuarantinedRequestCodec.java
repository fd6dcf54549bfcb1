package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * Encodes quarantined requests for the log. A record begins with a number, so that it can't be mistaken for a member
 * record, which begins with a name.
 */
public final class QuarantinedRequestCodec implements RecordCodec<QuarantinedRequest> {
    private static final int LAYOUT_VERSION = 1;

    /** More crashes than the trials of some days can cause, so that no node writes a longer list. */
    private static final int MAX_CRASHES = 1_024;

    private QuarantinedRequestCodec() {}

    /**
     * Creates a codec.
     *
     * @return the codec
     */
    public static QuarantinedRequestCodec create() {
        return new QuarantinedRequestCodec();
    }

    @Override
    public byte[] encode(QuarantinedRequest record) {
        try (MessageBufferPacker p = Buffers.packer()) {
            p.packInt(LAYOUT_VERSION);
            CrashReportCodec.pack(p, record.request());
            p.packArrayHeader(record.crashes().size());
            for (QuarantinedRequest.Crash e : record.crashes()) {
                p.packString(e.upstream()).packBoolean(e.cleared()).packLong(e.atMillis());
            }
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public QuarantinedRequest decode(byte[] bytes) {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            int layout = u.unpackInt();
            RequestDigest request = CrashReportCodec.unpackDigest(u);
            int n = u.unpackArrayHeader();
            if (layout != LAYOUT_VERSION || n > MAX_CRASHES) {
                throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "layout " + layout + ", " + n + " crashes");
            }
            List<QuarantinedRequest.Crash> crashes = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                crashes.add(new QuarantinedRequest.Crash(u.unpackString(), u.unpackBoolean(), u.unpackLong()));
            }
            return new QuarantinedRequest(request, crashes);
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "the bytes are not a quarantined request");
        }
    }
}
