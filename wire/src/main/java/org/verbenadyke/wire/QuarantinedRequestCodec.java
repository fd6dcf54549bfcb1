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
 * Encodes requests that are held back, for the log. A record begins with a number, so that it can't be taken for that
 * of a member, which begins with a name.
 */
public final class QuarantinedRequestCodec implements RecordCodec<QuarantinedRequest> {
    private static final int LAYOUT = 1;

    /** More than the trials of some days; a longer list is no list of a node. */
    private static final int ENDS_MOST = 1_024;

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
            p.packInt(LAYOUT);
            EndReports.pack(p, record.request());
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
            RequestDigest request = EndReports.unpackDigest(u);
            int n = u.unpackArrayHeader();
            if (layout != LAYOUT || n > ENDS_MOST) {
                throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "layout " + layout + ", " + n + " ends");
            }
            List<QuarantinedRequest.Crash> ends = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                ends.add(new QuarantinedRequest.Crash(u.unpackString(), u.unpackBoolean(), u.unpackLong()));
            }
            return new QuarantinedRequest(request, ends);
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "its bytes are no held request");
        }
    }
}
