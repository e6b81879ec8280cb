package org.gullway.transport;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Listens on one address and hands whole requests to a handler on the event loop. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** Handles one request; the response may be given at once or later, always exactly once. */
    @FunctionalInterface
    public interface Handler {
        void handle(HttpExchange exchange);
    }

    private static final class UndertowExchange implements HttpExchange {
        private final HttpServerExchange exchange;
        private final byte[] body;
        private final SocketBudget socketBudget;

        private UndertowExchange(HttpServerExchange exchange, byte[] body, SocketBudget socketBudget) {
            this.exchange = exchange;
            this.body = body;
            this.socketBudget = socketBudget;
        }

        @Override
        public String method() {
            return exchange.getRequestMethod().toString();
        }

        @Override
        public String path() {
            return exchange.getRequestPath();
        }

        @Override
        public String query() {
            return exchange.getQueryString();
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void respond(int status, byte[] content) {
            if (exchange.isResponseStarted()) {
                return;
            }
            if (socketBudget.isCrowded()) {
                exchange.setPersistent(false);
            }
            exchange.setStatusCode(status);
            if (content.length > 0) {
                exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
            }
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, content.length);
            if (content.length == 0) {
                exchange.endExchange();
            } else {
                exchange.getResponseSender().send(ByteBuffer.wrap(content));
            }
        }

        @Override
        public void reject(int status, Duration retryAfter) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Math.max(1, retryAfter.toSeconds()));
            respond(status, new byte[0]);
        }
    }

    private static final int BACKLOG = 1000;
    private static final OptionMap SERVER_OPTIONS = OptionMap.builder()
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .getMap();

    private static final AttachmentKey<Boolean> COUNTED = AttachmentKey.create(Boolean.class);

    private HttpServer() {}

    /**
     * Begins to listen.
     *
     * @param socketBudget what connections may take of the process's sockets
     * @param address host and port; for port 0 the system chooses one
     * @return host and port that it listens on
     * @throws UncheckedIOException if the address cannot be listened on
     */
    public static String start(
            XnioWorker worker,
            ByteBufferPool buffers,
            SocketBudget socketBudget,
            String address,
            int bodyLimit,
            Handler handler) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress where =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        // Not Undertow's builder: its handlers match each request's Host header against a pattern, which costs most
        // while nothing is compiled yet, and nothing here depends on that header.
        HttpOpenListener listener = new HttpOpenListener(buffers, SERVER_OPTIONS);
        listener.setRootHandler(exchange -> {
            count(socketBudget, exchange.getConnection());
            receive(exchange, socketBudget, bodyLimit, handler);
        });
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, socketBudget.maxAccepted())
                .set(Options.CONNECTION_LOW_WATER, socketBudget.maxAccepted() - 1)
                .getMap();
        try {
            AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    where, ChannelListeners.openListenerAdapter(listener), socketOptions);
            channel.resumeAccepts();
            int port = channel.getLocalAddress(InetSocketAddress.class).getPort();
            return address.substring(0, colon + 1) + port;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /** A connection counts from its first request on. */
    private static void count(SocketBudget socketBudget, ServerConnection connection) {
        if (connection.getAttachment(COUNTED) == null) {
            connection.putAttachment(COUNTED, true);
            socketBudget.onAcceptedChange(1);
            connection.addCloseListener(closed -> socketBudget.onAcceptedChange(-1));
        }
    }

    private static void receive(HttpServerExchange exchange, SocketBudget socketBudget, int limit, Handler handler) {
        if (exchange.getRequestContentLength() > limit) {
            exchange.setPersistent(false);
            dispatch(exchange, null, socketBudget, handler);
            return;
        }
        if (exchange.getRequestContentLength() < 0) {
            exchange.getRequestReceiver()
                    .receivePartialBytes(
                            new BodyOfUnknownLength(socketBudget, limit, handler),
                            (ex, error) -> rejectBody(ex, socketBudget, handler));
            return;
        }
        exchange.setMaxEntitySize(limit);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ex, bytes) -> dispatch(ex, bytes, socketBudget, handler),
                        (ex, error) -> rejectBody(ex, socketBudget, handler));
    }

    private static void rejectBody(HttpServerExchange exchange, SocketBudget socketBudget, Handler handler) {
        exchange.setPersistent(false);
        dispatch(exchange, null, socketBudget, handler);
    }

    /**
     * Collects a body whose length is not stated. One that turns out to be over the limit is read on for a while without
     * being kept: if the connection were closed while its sender is still writing, the answer would be lost.
     */
    private static final class BodyOfUnknownLength implements Receiver.PartialBytesCallback {
        /** Multiple of the limit beyond which the rest of a body is not read any more. */
        private static final int MAX_READ_FACTOR = 16;

        private final SocketBudget socketBudget;
        private final int limit;
        private final Handler handler;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private long read;
        private boolean dispatched;

        BodyOfUnknownLength(SocketBudget socketBudget, int limit, Handler handler) {
            this.socketBudget = socketBudget;
            this.limit = limit;
            this.handler = handler;
        }

        @Override
        public void handle(HttpServerExchange exchange, byte[] message, boolean last) {
            if (dispatched) {
                return;
            }
            read += message.length;
            if (read <= limit) {
                body.write(message, 0, message.length);
            }
            if (last || read > (long) limit * MAX_READ_FACTOR) {
                dispatched = true;
                exchange.setPersistent(last && exchange.isPersistent());
                dispatch(exchange, read <= limit ? body.toByteArray() : null, socketBudget, handler);
            }
        }
    }

    private static void dispatch(HttpServerExchange exchange, byte[] body, SocketBudget socketBudget, Handler handler) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            try {
                handler.handle(new UndertowExchange(exchange, body, socketBudget));
            } catch (RuntimeException e) {
                LOG.error(
                        "request failed method={} path={}", exchange.getRequestMethod(), exchange.getRequestPath(), e);
                new UndertowExchange(exchange, body, socketBudget)
                        .reject(HttpStatus.SERVICE_UNAVAILABLE, Duration.ofSeconds(2));
            }
        });
    }
}
