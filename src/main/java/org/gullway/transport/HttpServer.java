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

    /** Handles one request; the answer may be given at once or later, always exactly once. */
    @FunctionalInterface
    public interface Handler {
        void handle(Call call);
    }

    private static final class ExchangeCall implements Call {
        private final HttpServerExchange exchange;
        private final byte[] body;
        private final Sockets sockets;

        private ExchangeCall(HttpServerExchange exchange, byte[] body, Sockets sockets) {
            this.exchange = exchange;
            this.body = body;
            this.sockets = sockets;
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
        public void answer(int status, byte[] content) {
            if (exchange.isResponseStarted()) {
                return;
            }
            if (sockets.crowded()) {
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
        public void refuse(int status, Duration retryAfter) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Math.max(1, retryAfter.toSeconds()));
            answer(status, new byte[0]);
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
     * @param sockets what connections may take of the process's sockets
     * @param address host and port; for port 0 the system chooses one
     * @return host and port that it listens on
     * @throws UncheckedIOException if the address cannot be listened on
     */
    public static String start(
            XnioWorker worker,
            ByteBufferPool buffers,
            Sockets sockets,
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
            count(sockets, exchange.getConnection());
            receive(exchange, sockets, bodyLimit, handler);
        });
        OptionMap socketOptions = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, sockets.mostAccepted())
                .set(Options.CONNECTION_LOW_WATER, sockets.mostAccepted() - 1)
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
    private static void count(Sockets sockets, ServerConnection connection) {
        if (connection.getAttachment(COUNTED) == null) {
            connection.putAttachment(COUNTED, true);
            sockets.accepted(1);
            connection.addCloseListener(closed -> sockets.accepted(-1));
        }
    }

    private static void receive(HttpServerExchange exchange, Sockets sockets, int limit, Handler handler) {
        if (exchange.getRequestContentLength() > limit) {
            exchange.setPersistent(false);
            hand(exchange, null, sockets, handler);
            return;
        }
        if (exchange.getRequestContentLength() < 0) {
            exchange.getRequestReceiver()
                    .receivePartialBytes(
                            new BodyOfUnknownLength(sockets, limit, handler),
                            (ex, error) -> refuseBody(ex, sockets, handler));
            return;
        }
        exchange.setMaxEntitySize(limit);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ex, bytes) -> hand(ex, bytes, sockets, handler),
                        (ex, error) -> refuseBody(ex, sockets, handler));
    }

    private static void refuseBody(HttpServerExchange exchange, Sockets sockets, Handler handler) {
        exchange.setPersistent(false);
        hand(exchange, null, sockets, handler);
    }

    /**
     * Collects a body whose length is not stated. One that turns out to be over the limit is read on for a while without
     * being kept: if the connection were closed while its sender is still writing, the answer would be lost.
     */
    private static final class BodyOfUnknownLength implements Receiver.PartialBytesCallback {
        /** Multiple of the limit beyond which the rest of a body is not read any more. */
        private static final int MOST_READ = 16;

        private final Sockets sockets;
        private final int limit;
        private final Handler handler;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private long read;
        private boolean handed;

        BodyOfUnknownLength(Sockets sockets, int limit, Handler handler) {
            this.sockets = sockets;
            this.limit = limit;
            this.handler = handler;
        }

        @Override
        public void handle(HttpServerExchange exchange, byte[] message, boolean last) {
            if (handed) {
                return;
            }
            read += message.length;
            if (read <= limit) {
                body.write(message, 0, message.length);
            }
            if (last || read > (long) limit * MOST_READ) {
                handed = true;
                exchange.setPersistent(last && exchange.isPersistent());
                hand(exchange, read <= limit ? body.toByteArray() : null, sockets, handler);
            }
        }
    }

    private static void hand(HttpServerExchange exchange, byte[] body, Sockets sockets, Handler handler) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            try {
                handler.handle(new ExchangeCall(exchange, body, sockets));
            } catch (RuntimeException e) {
                LOG.error("{} {} failed", exchange.getRequestMethod(), exchange.getRequestPath(), e);
                new ExchangeCall(exchange, body, sockets).refuse(503, Duration.ofSeconds(2));
            }
        });
    }
}
