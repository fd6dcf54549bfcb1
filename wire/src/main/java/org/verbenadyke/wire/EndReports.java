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
 * Encodes reports of upstreams that ended.
 */
final class EndReports {
    /** More than fit into a datagram; a longer list is no list of a node. */
    private static final int MOST = 4_096;

    private EndReports() {}

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
        int n = count(u);
        List<CrashReport> reports = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            reports.add(new CrashReport(u.unpackString(), u.unpackBoolean(), age(u.unpackInt()), digests(u)));
        }
        return reports;
    }

    private static List<RequestDigest> digests(MessageUnpacker u) throws IOException {
        int n = count(u);
        List<RequestDigest> digests = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            digests.add(unpackDigest(u));
        }
        return digests;
    }

    private static int count(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MOST) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, n + " ends");
        }
        return n;
    }

    private static int age(int millis) {
        if (millis < 0) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "an age of " + millis + " ms");
        }
        return millis;
    }
}
