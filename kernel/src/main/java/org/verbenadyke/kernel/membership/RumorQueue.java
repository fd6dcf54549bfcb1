package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The members that changed recently, each sent a few more times. Runs on the serial executor of {@link Gossip}.
 */
final class RumorQueue {
    /** Records per datagram: eight stay below the size at which datagrams are fragmented. */
    private static final int MAX_RECORDS = 8;

    /** How often each node sends a change; sent to four nodes at a time, a change reaches nearly all nodes. */
    private static final int SENDS_PER_CHANGE = 6;

    private final MemberTable table;
    private final Map<String, Integer> remainingSends = new HashMap<>();

    RumorQueue(MemberTable table) {
        this.table = table;
    }

    void add(String nodeId) {
        remainingSends.put(nodeId, SENDS_PER_CHANGE);
    }

    /** Removes and returns the records for one datagram; a record that is to be sent again stays queued. */
    List<MemberRecord> next() {
        List<MemberRecord> records = new ArrayList<>(MAX_RECORDS);
        Iterator<Map.Entry<String, Integer>> i = remainingSends.entrySet().iterator();
        while (i.hasNext() && records.size() < MAX_RECORDS) {
            Map.Entry<String, Integer> e = i.next();
            table.find(e.getKey()).ifPresent(records::add);
            if (e.setValue(e.getValue() - 1) <= 1) {
                i.remove();
            }
        }
        return records;
    }
}
