package org.gullway.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Sends requests over pooled connections, each with a timeout, all on the event loop. */
public final class UndertowHttpClient implements HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(UndertowHttpClient.class);

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final ConnectionPool<ClientConnection> connections;

    /**
     * @param socketBudget limits the connections that the client opens to addresses that are not essential
     * @param essential addresses to which a connection is always opened, even when the socket budget is used up
     */
    public UndertowHttpClient(
            XnioEventLoop loop, ByteBufferPool buffers, SocketBudget socketBudget, Set<String> essential) {
        this.loop = loop;
        this.buffers = buffers;
        this.connections = new ConnectionPool<>(socketBudget, essential, IoUtils::safeClose);
    }

    @Override
    public void call(String address, HttpRequest request, Consumer<HttpResponse> callback) {
        assert loop.isCurrent() : "HTTP request sent from a thread other than the event loop";
        new PendingCall(address, request, callback).start();
    }

    private final class PendingCall {
        private final String address;
        private final HttpRequest request;
        private final Consumer<HttpResponse> callback;
        private final ByteArrayOutputStream received = new ByteArrayOutputStream(512);
        private final Runnable cancelTimer;
        /** The connection in use; null before it is established and after it was returned to the pool. */
        private ClientConnection connection;

        private boolean connecting;
        private boolean finished;

        PendingCall(String address, HttpRequest request, Consumer<HttpResponse> callback) {
            this.address = address;
            this.request = request;
            this.callback = callback;
            this.cancelTimer = loop.after(request.timeout(), () -> finish(timeoutResponse()));
        }

        void start() {
            ClientConnection idle = connections.takeIdle(address, ClientConnection::isOpen);
            if (idle != null) {
                send(idle);
                return;
            }
            if (connections.blocksNewConnection(address)) {
                finish(HttpResponse.notSent());
                return;
            }
            if (!connections.tryReserve(address)) {
                finish(HttpResponse.noSocket());
                return;
            }
            connect();
        }

        private void connect() {
            ClientCallback<ClientConnection> onConnected = new ClientCallback<>() {
                @Override
                public void completed(ClientConnection established) {
                    onConnectEnded();
                    established.addCloseListener(connections::onClosedByPeer);
                    if (finished) {
                        connections.putIdle(address, established);
                    } else {
                        send(established);
                    }
                }

                @Override
                public void failed(IOException e) {
                    onConnectFailed();
                }
            };
            connecting = true;
            try {
                UndertowClient.getInstance()
                        .connect(onConnected, URI.create("http://" + address), loop.thread(), buffers, OptionMap.EMPTY);
            } catch (RuntimeException e) {
                // Addresses of agents are texts that the agents send.
                LOG.info("cannot connect to an address address=\"{}\" error=\"{}\"", address, e.toString());
                onConnectFailed();
            }
        }

        private void onConnectFailed() {
            onConnectEnded();
            connections.onConnectFailed();
            finish(HttpResponse.notSent());
        }

        private void onConnectEnded() {
            connecting = false;
            if (finished) {
                connections.onAbandonedConnectEnded(address);
            }
        }

        /** Nothing is sent before the connection is established; after that the request may have been processed. */
        private HttpResponse timeoutResponse() {
            return connection == null ? HttpResponse.notSent() : HttpResponse.unknown();
        }

        private ClientRequest newClientRequest() {
            ClientRequest clientRequest = new ClientRequest()
                    .setMethod(HttpString.tryFromString(request.method()))
                    .setPath(request.path())
                    .setProtocol(Protocols.HTTP_1_1);
            clientRequest.getRequestHeaders().put(Headers.HOST, address);
            if (request.body().length > 0) {
                clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
                clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
            } else if (!"GET".equals(request.method())) {
                clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
            }
            return clientRequest;
        }

        private void send(ClientConnection established) {
            connection = established;
            try {
                established.sendRequest(newClientRequest(), onRequestStarted());
            } catch (RuntimeException e) {
                LOG.error("could not send a request address={} path={}", address, request.path(), e);
                finish(HttpResponse.unknown());
            }
        }

        private ClientCallback<ClientExchange> onRequestStarted() {
            return new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(onResponse());
                    if (request.body().length > 0) {
                        write(exchange.getRequestChannel(), ByteBuffer.wrap(request.body()));
                    }
                }

                @Override
                public void failed(IOException e) {
                    finish(HttpResponse.unknown());
                }
            };
        }

        private ClientCallback<ClientExchange> onResponse() {
            return new ClientCallback<>() {
                @Override
                public void completed(ClientExchange completedExchange) {
                    readResponse(completedExchange, completedExchange.getResponseChannel());
                }

                @Override
                public void failed(IOException e) {
                    finish(HttpResponse.unknown());
                }
            };
        }

        private void write(StreamSinkChannel channel, ByteBuffer body) {
            try {
                while (body.hasRemaining()) {
                    if (channel.write(body) == 0) {
                        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) c -> write(c, body));
                        channel.resumeWrites();
                        return;
                    }
                }
                channel.suspendWrites();
                channel.shutdownWrites();
                if (!channel.flush()) {
                    channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) c -> {
                        try {
                            if (c.flush()) {
                                c.suspendWrites();
                            }
                        } catch (IOException e) {
                            finish(HttpResponse.unknown());
                        }
                    });
                    channel.resumeWrites();
                }
            } catch (IOException e) {
                finish(HttpResponse.unknown());
            }
        }

        private void readResponse(ClientExchange exchange, StreamSourceChannel channel) {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count < 0) {
                        onResponseComplete(exchange);
                        return;
                    }
                    if (count == 0) {
                        channel.getReadSetter()
                                .set((ChannelListener<StreamSourceChannel>) c -> readResponse(exchange, c));
                        channel.resumeReads();
                        return;
                    }
                    buffer.flip();
                    if (received.size() + buffer.remaining() > request.maxResponseBytes()) {
                        finish(HttpResponse.tooLarge());
                        return;
                    }
                    received.write(buffer.array(), buffer.arrayOffset() + buffer.position(), buffer.remaining());
                }
            } catch (IOException e) {
                finish(HttpResponse.unknown());
            }
        }

        private void onResponseComplete(ClientExchange exchange) {
            HttpResponse response =
                    HttpResponse.answered(exchange.getResponse().getResponseCode(), received.toByteArray());
            boolean closeRequested = "close"
                    .equalsIgnoreCase(
                            exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            ClientConnection usedConnection = connection;
            if (!finished && !closeRequested) {
                connection = null;
                connections.putIdle(address, usedConnection);
            }
            finish(response);
        }

        private void finish(HttpResponse response) {
            if (finished) {
                return;
            }
            finished = true;
            cancelTimer.run();
            if (connecting) {
                connections.abandon(address);
            }
            if (connection != null) {
                connections.discard(connection);
            }
            callback.accept(response);
        }
    }
}
