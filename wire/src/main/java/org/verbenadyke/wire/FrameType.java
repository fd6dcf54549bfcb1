package org.verbenadyke.wire;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.message.Message;

/**
 * The numbers of the message types on the wire. Numbers are never given to another type.
 */
enum FrameType {
    HELLO,
    HEARTBEAT,
    CALL,
    HEAD,
    DATA,
    END,
    REFUSED,
    CREDIT,
    CANCEL,
    SPEND,
    GRANT,
    INQUIRE,
    KEY_ASK,
    KEY_TOLD,
    KEY_HAND_ON,
    KEYS_HANDED_ON,
    /** {@link Message.PlanRequest}. */
    PLAN_WANTED,
    /** {@link Message.PlanReply}. */
    PLAN_TOLD,
    /** {@link Message.QuotaRequest}. */
    QUOTA_ASK,
    /** {@link Message.QuotaReply}. */
    QUOTA_TOLD;

    private static final FrameType[] ALL = values();

    byte number() {
        return (byte) ordinal();
    }

    static FrameType numbered(byte number) {
        if (number < 0 || number >= ALL.length) {
            throw VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, "type " + number);
        }
        return ALL[number];
    }

    static FrameType of(Message message) {
        return switch (message) {
            case Message.Hello m -> HELLO;
            case Message.Heartbeat m -> HEARTBEAT;
            case Message.Call m -> CALL;
            case Message.Head m -> HEAD;
            case Message.Data m -> DATA;
            case Message.End m -> END;
            case Message.Refused m -> REFUSED;
            case Message.Credit m -> CREDIT;
            case Message.Cancel m -> CANCEL;
            case Message.Spend m -> SPEND;
            case Message.Grant m -> GRANT;
            case Message.Inquire m -> INQUIRE;
            case Message.KeyQuery m -> KEY_ASK;
            case Message.KeyReply m -> KEY_TOLD;
            case Message.KeyTransfer m -> KEY_HAND_ON;
            case Message.KeyTransferEnd m -> KEYS_HANDED_ON;
            case Message.PlanRequest m -> PLAN_WANTED;
            case Message.PlanReply m -> PLAN_TOLD;
            case Message.QuotaRequest m -> QUOTA_ASK;
            case Message.QuotaReply m -> QUOTA_TOLD;
        };
    }
}
