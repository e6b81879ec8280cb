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

/**
 * An HTTP server that reads each request completely and passes it to a handler on the event loop. The handler gets a
 * null body if the body exceeds the limit or could not be read.
 */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** The maximum size of a request body. */
    @FunctionalInterface
    public interface BodyLimit {
        int bytesFor(String path);
    }

    /** Handles one request. Must respond exactly once, immediately or later. */
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
            if (socketBudget.isNearAcceptLimit()) {
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

    private static final AttachmentKey<Boolean> IS_COUNTED = AttachmentKey.create(Boolean.class);

    private HttpServer() {}

    /** Starts to listen on an address, with the same limit for the bodies of all requests. */
    public static String start(
            XnioWorker worker,
            ByteBufferPool buffers,
            SocketBudget socketBudget,
            String address,
            int bodyLimit,
            Handler handler) {
        return start(worker, buffers, socketBudget, address, path -> bodyLimit, handler);
    }

    /**
     * Starts to listen on an address.
     *
     * @param socketBudget limits the connections that the server accepts
     * @param address host and port; for port 0 the operating system chooses a port
     * @return host and port on which the server listens
     * @throws UncheckedIOException if the server cannot listen on the address
     */
    public static String start(
            XnioWorker worker,
            ByteBufferPool buffers,
            SocketBudget socketBudget,
            String address,
            BodyLimit bodyLimit,
            Handler handler) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress socketAddress =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        // Undertow's builder is not used: its handlers match each request's Host header against a pattern. That slows
        // down the first requests after start-up, before the code is compiled, and no handler needs the header.
        HttpOpenListener listener = new HttpOpenListener(buffers, SERVER_OPTIONS);
        listener.setRootHandler(exchange -> {
            countConnection(socketBudget, exchange.getConnection());
            receiveBody(exchange, socketBudget, bodyLimit.bytesFor(exchange.getRequestPath()), handler);
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
                    socketAddress, ChannelListeners.openListenerAdapter(listener), socketOptions);
            channel.resumeAccepts();
            int port = channel.getLocalAddress(InetSocketAddress.class).getPort();
            return address.substring(0, colon + 1) + port;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /** Counts a connection as accepted from its first request until it is closed. */
    private static void countConnection(SocketBudget socketBudget, ServerConnection connection) {
        if (connection.getAttachment(IS_COUNTED) == null) {
            connection.putAttachment(IS_COUNTED, true);
            socketBudget.onAcceptedChange(1);
            connection.addCloseListener(closed -> socketBudget.onAcceptedChange(-1));
        }
    }

    private static void receiveBody(
            HttpServerExchange exchange, SocketBudget socketBudget, int bodyLimit, Handler handler) {
        if (exchange.getRequestContentLength() > bodyLimit) {
            exchange.setPersistent(false);
            dispatch(exchange, null, socketBudget, handler);
            return;
        }
        if (exchange.getRequestContentLength() < 0) {
            exchange.getRequestReceiver()
                    .receivePartialBytes(
                            new BodyOfUnknownLength(socketBudget, bodyLimit, handler),
                            (ex, error) -> dispatchWithoutBody(ex, socketBudget, handler));
            return;
        }
        exchange.setMaxEntitySize(bodyLimit);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ex, bytes) -> dispatch(ex, bytes, socketBudget, handler),
                        (ex, error) -> dispatchWithoutBody(ex, socketBudget, handler));
    }

    private static void dispatchWithoutBody(HttpServerExchange exchange, SocketBudget socketBudget, Handler handler) {
        exchange.setPersistent(false);
        dispatch(exchange, null, socketBudget, handler);
    }

    /**
     * Collects a request body without a Content-Length. If the body exceeds the limit, the rest of it is read and
     * dropped up to a maximum: closing the connection while the client is still writing would lose the response.
     */
    private static final class BodyOfUnknownLength implements Receiver.PartialBytesCallback {
        /** A body is read up to this multiple of the limit; the rest is not read. */
        private static final int MAX_READ_FACTOR = 16;

        private final SocketBudget socketBudget;
        private final int bodyLimit;
        private final Handler handler;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private long bytesRead;
        private boolean dispatched;

        BodyOfUnknownLength(SocketBudget socketBudget, int bodyLimit, Handler handler) {
            this.socketBudget = socketBudget;
            this.bodyLimit = bodyLimit;
            this.handler = handler;
        }

        @Override
        public void handle(HttpServerExchange exchange, byte[] message, boolean last) {
            if (dispatched) {
                return;
            }
            bytesRead += message.length;
            if (bytesRead <= bodyLimit) {
                body.write(message, 0, message.length);
            }
            if (last || bytesRead > (long) bodyLimit * MAX_READ_FACTOR) {
                dispatched = true;
                exchange.setPersistent(last && exchange.isPersistent());
                dispatch(exchange, bytesRead <= bodyLimit ? body.toByteArray() : null, socketBudget, handler);
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
