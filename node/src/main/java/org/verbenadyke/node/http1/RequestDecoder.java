package org.verbenadyke.node.http1;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Decodes the requests on one connection. A request with two framings, with a transfer coding other than the chunked
 * one, of an unknown version or with a target that has control characters is delivered as a decoding failure: an
 * upstream could read other bounds from it than this node.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final Set<String> VERSIONS = Set.of(HttpVersion.HTTP_1_1.text(), HttpVersion.HTTP_1_0.text());

    /** The place of the version in a request line. */
    private static final int VERSION = 2;

    private static final int DELETE = 0x7f;

    private final Queue<HttpMethod> unanswered = new ArrayDeque<>();

    private RequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /**
     * Creates the decoder of one connection.
     *
     * @param maxLineBytes the maximum size of a request line in bytes
     * @param maxHeadBytes the maximum size of the header fields in bytes
     */
    static RequestDecoder limitedTo(int maxLineBytes, int maxHeadBytes) {
        return new RequestDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxLineBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setValidateHeaders(true));
    }

    /** Removes the oldest request without an answer, and returns its method; empty if all are answered. */
    Optional<HttpMethod> takeUnanswered() {
        return Optional.ofNullable(unanswered.poll());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        super.decode(context, buffer, out);
        for (Object message : out) {
            if (message instanceof HttpRequest head) {
                unanswered.add(head.method());
                if (head.decoderResult().isSuccess()) {
                    fault(head)
                            .map(CorruptedFrameException::new)
                            .map(DecoderResult::failure)
                            .ifPresent(head::setDecoderResult);
                }
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw FieldSyntax.twoFramings();
    }

    /** The library reads any version, in lower case too. */
    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        if (!VERSIONS.contains(requestLine[VERSION])) {
            throw new IllegalArgumentException("unknown version");
        }
        return super.createMessage(requestLine);
    }

    private static Optional<String> fault(HttpRequest head) {
        return hasControlCharacter(head.uri())
                ? Optional.of("control character in the target")
                : FieldSyntax.framingFault(head);
    }

    private static boolean hasControlCharacter(String target) {
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            if (c <= ' ' || c == DELETE) {
                return true;
            }
        }
        return false;
    }
}
