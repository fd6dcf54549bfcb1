package org.verbenadyke.kernel.serve;

import java.util.function.Consumer;

import org.verbenadyke.kernel.once.KeyTable;

/**
 * Claims keys for tries, after making sure that no other node may have run an earlier one.
 */
public interface KeyClaims {
    /**
     * Claims a key.
     *
     * @param local the upstream beside this node
     * @param key the key
     * @param fingerprint a hash of what the try asks for
     * @param taker is told once what came of it
     */
    void claim(LocalUpstream local, String key, long fingerprint, Consumer<Outcome> taker);

    /**
     * What came of a claim.
     */
    sealed interface Outcome {
        /**
         * This node owns the key.
         *
         * @param claim what its table says
         */
        record Owned(KeyTable.Claim claim) implements Outcome {}

        /** Another node owns the key. */
        record OwnedElsewhere() implements Outcome {}

        /** An earlier try may have run on a node that is gone. */
        record InDoubt() implements Outcome {}
    }

    /**
     * Returns claims for a node that shares its keys with no other.
     *
     * @return the claims
     */
    static KeyClaims unshared() {
        return (local, key, fingerprint, taker) ->
                taker.accept(new Outcome.Owned(local.keys().claim(key, fingerprint, local.now())));
    }
}
