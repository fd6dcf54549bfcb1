package org.verbenadyke.wire;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Creates MessagePack packers and unpackers with small buffers: most frames are a few hundred bytes, and the library's
 * default buffers of 8 KiB each would be most of what a call allocates.
 */
final class Buffers {
    private static final int BUFFER_BYTES = 512;
    private static final int STRING_BUFFER_BYTES = 64;
    private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);
    private static final MessagePack.UnpackerConfig UNPACKER = new MessagePack.UnpackerConfig()
            .withBufferSize(BUFFER_BYTES)
            .withStringDecoderBufferSize(STRING_BUFFER_BYTES);

    private Buffers() {}

    static MessageBufferPacker packer() {
        return PACKER.newBufferPacker();
    }

    static MessageUnpacker unpacker(byte[] bytes) {
        return unpacker(bytes, 0);
    }

    static MessageUnpacker unpacker(byte[] bytes, int offset) {
        return UNPACKER.newUnpacker(bytes, offset, bytes.length - offset);
    }
}
