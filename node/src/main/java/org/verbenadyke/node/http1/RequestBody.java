package org.verbenadyke.node.http1;

import io.netty.buffer.ByteBuf;

/**
 * The body of a request that was read into a buffer.
 */
final class RequestBody {
    private RequestBody() {}

    /** Returns the bytes of a body, without a copy if its length was known in advance. */
    static byte[] bytes(ByteBuf body) {
        int length = body.readableBytes();
        if (length > 0 && body.hasArray() && body.array().length == length) {
            return body.array();
        }
        byte[] bytes = new byte[length];
        body.readBytes(bytes);
        return bytes;
    }
}
