package org.verbenadyke.node.http1;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Encodes the answers on one connection. The answer to a HEAD request has no body, whatever its fields say.
 */
final class AnswerEncoder extends HttpResponseEncoder {
    private final RequestDecoder requests;

    private AnswerEncoder(RequestDecoder requests) {
        this.requests = requests;
    }

    /** Creates the encoder of the answers to the requests that a decoder reads. */
    static AnswerEncoder answering(RequestDecoder requests) {
        return new AnswerEncoder(requests);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(head);
        }
        boolean toHead =
                requests.takeUnanswered().filter(HttpMethod.HEAD::equals).isPresent();
        return toHead || super.isContentAlwaysEmpty(head);
    }
}
