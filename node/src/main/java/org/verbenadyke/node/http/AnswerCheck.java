package org.verbenadyke.node.http;

import java.util.Iterator;
import java.util.Optional;

import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpResponseMetaData;

/**
 * Checks what the HTTP library lets pass in the fields of an answer's head and RFC 9112, section 6, doesn't: a transfer
 * coding other than the chunked one. Of two framings the library drops the length, as section 6.3 allows. The status
 * line is checked by {@link StatusLineHandler}.
 */
public final class AnswerCheck {
    private AnswerCheck() {}

    /**
     * Finds what is wrong with an answer.
     *
     * @param head the head of the answer
     * @return the fault, empty if there is none
     */
    public static Optional<String> fault(HttpResponseMetaData head) {
        Iterator<? extends CharSequence> codings = head.headers().valuesIterator(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.hasNext()) {
            return Optional.empty();
        }
        boolean chunked = HttpHeaderValues.CHUNKED
                .toString()
                .equalsIgnoreCase(codings.next().toString());
        return chunked && !codings.hasNext() ? Optional.empty() : Optional.of("transfer coding other than chunked");
    }
}
