package org.verbenadyke.kernel.team;

import java.util.List;
import java.util.Optional;

/**
 * Identifies the caller of an external request by its API key.
 */
public final class Authenticator {
    /** Maximum length of a key in characters. Load pattern: a flood of wrong keys, each of which is digested. */
    public static final int MAX_KEY_LENGTH = 512;

    private Authenticator() {}

    /**
     * Identifies a caller.
     *
     * @param teams the teams of the configuration in force
     * @param openToAll whether the route serves callers without an API key
     * @param keys the values of all key fields of the request
     * @return the identity of the caller
     */
    public static Identity identify(TeamDirectory teams, boolean openToAll, List<String> keys) {
        Identity identity = byKey(teams, keys);
        return openToAll && identity instanceof Identity.Rejected ? new Identity.Anonymous() : identity;
    }

    private static Identity byKey(TeamDirectory teams, List<String> keys) {
        if (keys.size() > 1) {
            return new Identity.Rejected(KeyFault.REPEATED);
        }
        if (keys.isEmpty() || keys.get(0).isEmpty()) {
            return new Identity.Rejected(KeyFault.MISSING);
        }
        if (keys.get(0).length() > MAX_KEY_LENGTH) {
            return new Identity.Rejected(KeyFault.TOO_LONG);
        }
        Optional<Team> holder = teams.holder(KeyDigest.of(keys.get(0)));
        return holder.<Identity>map(Identity.Known::new).orElseGet(() -> new Identity.Rejected(KeyFault.UNKNOWN));
    }
}
