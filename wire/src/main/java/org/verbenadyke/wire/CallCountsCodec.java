package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.cost.CallCounts;

/**
 * Encodes numbers of calls as an array of services, each with its number.
 */
final class CallCountsCodec {
    private CallCountsCodec() {}

    static void pack(MessagePacker p, CallCounts counts) throws IOException {
        p.packArrayHeader(counts.services().size());
        for (CallCounts.ServiceCalls calls : counts.services()) {
            p.packString(calls.service()).packInt(calls.calls());
        }
    }

    static CallCounts unpack(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n == 0) {
            return CallCounts.NONE;
        }
        if (n > CallCounts.MAX_SERVICES) {
            throw FrameCodec.malformed("calls at " + n + " services");
        }
        List<CallCounts.ServiceCalls> services = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            services.add(unpackServiceCalls(u));
        }
        return new CallCounts(services);
    }

    private static CallCounts.ServiceCalls unpackServiceCalls(MessageUnpacker u) throws IOException {
        String service = u.unpackString();
        int calls = u.unpackInt();
        if (calls <= 0) {
            throw FrameCodec.malformed(calls + " calls at a service");
        }
        return new CallCounts.ServiceCalls(service, calls);
    }
}
