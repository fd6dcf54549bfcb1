package org.verbenadyke.kernel.serve;

import java.util.function.Consumer;

import org.verbenadyke.kernel.once.KeyTable;

/**
 * Claims keys for attempts, after ensuring that no other node may have run an earlier attempt.
 */
public interface KeyClaims {
    /**
     * Claims a key.
     *
     * @param local the colocated upstream
     * @param key the key
     * @param fingerprint a hash of the request that uses the key
     * @param callback called exactly once, with the outcome
     */
    void claim(LocalUpstream local, String key, long fingerprint, Consumer<Outcome> callback);

    /**
     * The outcome of a claim.
     */
    sealed interface Outcome {
        /**
         * This node owns the key.
         *
         * @param claim the result from the node's key table
         */
        record Owned(KeyTable.Claim claim) implements Outcome {}

        /** Another node owns the key. */
        record OwnedElsewhere() implements Outcome {}

        /** Ownership is in doubt: an earlier attempt may have run on a node that is gone. */
        record InDoubt() implements Outcome {}
    }

    /**
     * Returns claims for a node that shares no keys with other nodes.
     *
     * @return the claims
     */
    static KeyClaims unshared() {
        return (local, key, fingerprint, callback) ->
                callback.accept(new Outcome.Owned(local.keys().claim(key, fingerprint, local.now())));
    }
}
