package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.quarantine.CrashReport;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * Encodes reports of crashed upstreams.
 */
final class CrashReportCodec {
    /** More items than fit into a datagram, so that no node sends a longer list. */
    private static final int MAX_ITEMS = 4_096;

    private CrashReportCodec() {}

    static void pack(MessagePacker p, List<CrashReport> reports) throws IOException {
        p.packArrayHeader(reports.size());
        for (CrashReport r : reports) {
            p.packString(r.upstream()).packBoolean(r.cleared()).packInt(r.ageMillis());
            p.packArrayHeader(r.requests().size());
            for (RequestDigest d : r.requests()) {
                pack(p, d);
            }
        }
    }

    static void pack(MessagePacker p, RequestDigest digest) throws IOException {
        p.packInt(digest.pathHash()).packLong(digest.high()).packLong(digest.low());
    }

    static RequestDigest unpackDigest(MessageUnpacker u) throws IOException {
        return new RequestDigest(u.unpackInt(), u.unpackLong(), u.unpackLong());
    }

    static List<CrashReport> unpack(MessageUnpacker u) throws IOException {
        int n = unpackCount(u);
        List<CrashReport> reports = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            reports.add(new CrashReport(u.unpackString(), u.unpackBoolean(), checkedAge(u.unpackInt()), digests(u)));
        }
        return reports;
    }

    private static List<RequestDigest> digests(MessageUnpacker u) throws IOException {
        int n = unpackCount(u);
        List<RequestDigest> digests = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            digests.add(unpackDigest(u));
        }
        return digests;
    }

    private static int unpackCount(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MAX_ITEMS) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, n + " items");
        }
        return n;
    }

    private static int checkedAge(int millis) {
        if (millis < 0) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "an age of " + millis + " ms");
        }
        return millis;
    }
}
