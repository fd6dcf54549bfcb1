package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The members that changed lately and are told of a few times more. Runs inside the serial runner of {@link Gossip}.
 */
final class HotNews {
    /** Records a datagram: eight stay below the size at which datagrams are split. */
    private static final int NEWS_MOST = 8;

    /** How often a change is told on by each node; with four listeners at a time it reaches nearly all. */
    private static final int REPEATS = 6;

    private final MemberTable table;
    private final Map<String, Integer> hot = new HashMap<>();

    HotNews(MemberTable table) {
        this.table = table;
    }

    void add(String nodeId) {
        hot.put(nodeId, REPEATS);
    }

    /** Takes the records for one datagram. */
    List<MemberRecord> next() {
        List<MemberRecord> news = new ArrayList<>(NEWS_MOST);
        Iterator<Map.Entry<String, Integer>> i = hot.entrySet().iterator();
        while (i.hasNext() && news.size() < NEWS_MOST) {
            Map.Entry<String, Integer> e = i.next();
            table.find(e.getKey()).ifPresent(news::add);
            if (e.setValue(e.getValue() - 1) <= 1) {
                i.remove();
            }
        }
        return news;
    }
}
