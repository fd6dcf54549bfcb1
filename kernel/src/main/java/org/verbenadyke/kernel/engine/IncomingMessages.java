package org.verbenadyke.kernel.engine;

import java.util.function.Supplier;

import org.verbenadyke.kernel.dispatch.Dispatcher;
import org.verbenadyke.kernel.link.LinkPool;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.serve.CallServer;

/**
 * Routes messages that arrive over the links to the component that handles them. The server and the dispatcher are
 * supplied, since both are created with the links.
 */
final class IncomingMessages implements LinkPool.Listener {
    private final EngineParts parts;
    private final Supplier<CallServer> server;
    private final Supplier<Dispatcher> dispatcher;

    private IncomingMessages(EngineParts parts, Supplier<CallServer> server, Supplier<Dispatcher> dispatcher) {
        this.parts = parts;
        this.server = server;
        this.dispatcher = dispatcher;
    }

    static IncomingMessages to(EngineParts parts, Supplier<CallServer> server, Supplier<Dispatcher> dispatcher) {
        return new IncomingMessages(parts, server, dispatcher);
    }

    @Override
    public void received(Link link, Message message) {
        switch (message) {
            case Message.Call m -> server.get().received(link, m);
            case Message.Credit m -> server.get().received(link, m);
            case Message.Cancel m -> server.get().received(link, m);
            case Message.Grant m -> server.get().received(link, m);
            case Message.Inquire m -> server.get().received(link, m);
            case Message.KeyQuery m -> parts.keyMessages().accept(link, m);
            case Message.KeyReply m -> parts.keyMessages().accept(link, m);
            case Message.KeyTransfer m -> parts.keyMessages().accept(link, m);
            case Message.KeyTransferEnd m -> parts.keyMessages().accept(link, m);
            case Message.PlanRequest m -> parts.planMessages().accept(link, m);
            case Message.PlanReply m -> parts.planMessages().accept(link, m);
            case Message.QuotaRequest m -> parts.quotaMessages().accept(link, m);
            case Message.QuotaReply m -> parts.quotaMessages().accept(link, m);
            default -> dispatcher.get().received(link, message);
        }
    }

    @Override
    public void linkLost(Link link) {
        dispatcher.get().linkLost(link);
        server.get().linkLost(link);
    }
}
