package org.verbenadyke.node.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.http.AnswerCheck;
import org.verbenadyke.node.http.StatusLineHandler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.IoExecutor;

/**
 * A client of the log service over HTTP: {@code POST /streams/NAME} appends, {@code GET
 * /streams/NAME?from=OFFSET&wait=MILLIS} reads.
 */
public final class HttpLogService implements LogService, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration READ_SLACK = Duration.ofSeconds(2);
    private static final int OK = 200;

    /** The longest answer, in bytes: several times what a node writes between two reads. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private final StreamingHttpClient client;

    private HttpLogService(StreamingHttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client, which connects on first use.
     *
     * @param address the service's address
     * @param executor the threads that serve connections
     * @return the client
     */
    public static HttpLogService at(Endpoint address, IoExecutor executor) {
        return new HttpLogService(HttpClients.forSingleAddress(address.host(), address.port())
                .ioExecutor(executor)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .appendConnectionFilter(StatusLineHandler::watch)
                .buildStreaming());
    }

    @Override
    public void append(String stream, String key, byte[] record, Consumer<AppendResult> callback) {
        StreamingHttpRequest request = client.post("/streams/" + stream)
                .payloadBody(Publisher.from(
                        client.executionContext().bufferAllocator().wrap(record)))
                .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(record.length));
        send(request)
                .timeout(APPEND_TIMEOUT)
                .map(HttpLogService::parseAppended)
                .onErrorReturn(HttpLogService::appendFailure)
                .subscribe(callback::accept);
    }

    @Override
    public void read(String stream, long fromOffset, long waitMillis, Consumer<ReadResult> callback) {
        String target = "/streams/" + stream + "?from=" + fromOffset + "&wait=" + waitMillis;
        send(client.get(target))
                .timeout(READ_SLACK.plusMillis(waitMillis))
                .map(HttpLogService::parseRecords)
                .onErrorReturn(e -> new ReadResult.Failed(String.valueOf(e.getMessage())))
                .subscribe(callback::accept);
    }

    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    /** Sends a request and collects its answer, which fails if it is none in the protocol or too long. */
    private Single<Answer> send(StreamingHttpRequest request) {
        return client.request(request).flatMap(response -> {
            AnswerCheck.fault(response).ifPresent(fault -> {
                throw new IllegalStateException(fault);
            });
            return response.payloadBody()
                    .collect(ByteArrayOutputStream::new, HttpLogService::collect)
                    .map(body -> new Answer(response.status().code(), body.toByteArray()));
        });
    }

    private static ByteArrayOutputStream collect(ByteArrayOutputStream body, Buffer part) {
        if (body.size() + part.readableBytes() > MAX_ANSWER_BYTES) {
            throw new IllegalStateException("an answer of over " + MAX_ANSWER_BYTES + " bytes");
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.readBytes(bytes);
        body.writeBytes(bytes);
        return body;
    }

    private static AppendResult parseAppended(Answer answer) {
        if (answer.status() != OK) {
            return new AppendResult.Failed("status " + answer.status());
        }
        return new AppendResult.Appended(parseJson(answer).path("offset").asLong());
    }

    private static AppendResult appendFailure(Throwable failure) {
        if (failure instanceof ConnectException || failure instanceof NoAvailableHostException) {
            return new AppendResult.Failed(String.valueOf(failure.getMessage()));
        }
        return new AppendResult.Unknown(String.valueOf(failure.getMessage()));
    }

    private static ReadResult parseRecords(Answer answer) {
        if (answer.status() != OK) {
            return new ReadResult.Failed("status " + answer.status());
        }
        JsonNode node = parseJson(answer);
        List<LogRecord> records = new ArrayList<>();
        for (JsonNode r : node.path("records")) {
            records.add(new LogRecord(
                    r.path("offset").asLong(),
                    Optional.empty(),
                    Base64.getDecoder().decode(r.path("data").asText())));
        }
        return new ReadResult.Records(
                node.path("first").asLong(), node.path("next").asLong(), records);
    }

    private static JsonNode parseJson(Answer answer) {
        try {
            return JSON.readTree(answer.body());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * An answer of the log service.
     *
     * @param status the HTTP status
     * @param body the body
     */
    private record Answer(int status, byte[] body) {}
}
