package org.verbenadyke.node.http1;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Decodes the answers on one connection, and knows what a decoder of whole messages hides: whether bytes beyond the
 * last answer have arrived, whether a head was joined from two answers, and whether the peer has ended its answers in
 * order. The decoder of the library skips, trims and shortens what isn't in the protocol; here such a head or trailer
 * is delivered as a decoding failure, before anything of it is believed.
 *
 * <p>A head that begins is held in the decoder, and the next answer on the connection would continue it. Each answer
 * begins with a status line, so that a joined head has a second one, in its reason phrase or in a field.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** How much may come before the answer to a request, as interim answers and answers to others, in bytes. */
    private static final long MAX_SKIPPED_BYTES = 4L * 1024 * 1024;

    private static final String PROTOCOL = "HTTP";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private final StatusLineValidator statusLine = new StatusLineValidator();
    private HttpMethod method = HttpMethod.GET;
    private long skippedBytes;
    private boolean answerBegun;
    private boolean withinAnswer;
    private boolean inputFailed;
    private boolean inputEnded;

    private AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /**
     * Creates the decoder of one connection.
     *
     * @param maxHeadBytes the maximum size of a head in bytes; a longer one is delivered as a decoding failure
     */
    static AnswerDecoder limitedTo(int maxHeadBytes) {
        return new AnswerDecoder(new HttpDecoderConfig().setMaxHeaderSize(maxHeadBytes));
    }

    /** Sets the method of the request whose answer is due, which tells whether the answer has a body. */
    void expectAnswerTo(HttpMethod newMethod) {
        method = newMethod;
        skippedBytes = 0;
        answerBegun = false;
    }

    /** Called when the head that was decoded last is that of the answer to the request. */
    void answerBegun() {
        answerBegun = true;
    }

    /** Returns whether all received bytes belong to answers that have ended, and more answers may come. */
    boolean readyForNextAnswer() {
        return !withinAnswer && !inputEnded && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int start = buffer.readerIndex();
        super.decode(context, buffer, out);
        skippedBytes += buffer.readerIndex() - start;
        withinAnswer |= buffer.readerIndex() != start;
        if (!statusLine.complete()) {
            buffer.forEachByte(start, buffer.readerIndex() - start, statusLine);
        }
        for (Object message : out) {
            HttpObject part = (HttpObject) message;
            fault(part)
                    .map(CorruptedFrameException::new)
                    .map(DecoderResult::failure)
                    .ifPresent(part::setDecoderResult);
            if (part instanceof LastHttpContent) {
                withinAnswer = false;
                statusLine.reset();
            }
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        FieldSyntax.checkName(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw FieldSyntax.twoFramings();
    }

    /**
     * Ends an answer without a length only if the peer has closed its side of the connection. A reset may be met by a
     * write, after which the connection closes without a failed read.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (inputEnded) {
            super.decodeLast(context, buffer, out);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        // A read that fails shuts the input down as well, after its exception was reported.
        inputEnded |= event instanceof ChannelInputShutdownEvent && !inputFailed;
        super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        inputFailed = true;
        super.exceptionCaught(context, cause);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return method.equals(HttpMethod.HEAD)
                || super.isContentAlwaysEmpty(message)
                || method.equals(HttpMethod.CONNECT)
                        && message instanceof HttpResponse head
                        && head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Finds what is wrong with a part that the library takes for valid. */
    private Optional<String> fault(HttpObject part) {
        if (part == LastHttpContent.EMPTY_LAST_CONTENT || part.decoderResult().isFailure()) {
            return Optional.empty();
        }
        if (!answerBegun && skippedBytes > MAX_SKIPPED_BYTES) {
            return Optional.of("no answer to the request, but other bytes without end");
        }
        if (!(part instanceof HttpResponse head)) {
            return Optional.empty();
        }
        if (!statusLine.valid()) {
            return Optional.of("no status line of HTTP/1");
        }
        return joinsTwoAnswers(head) ? Optional.of("head of two answers") : FieldSyntax.framingFault(head);
    }

    private static boolean joinsTwoAnswers(HttpResponse head) {
        if (hasStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : head.headers()) {
            if (hasStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
