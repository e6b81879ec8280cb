package org.gullway;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpServer;
import org.gullway.transport.SocketBudget;
import org.gullway.transport.UndertowHttpClient;
import org.gullway.transport.XnioEventLoop;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One event loop, with an HTTP client and HTTP servers on loopback addresses that all run on it. */
final class LoopbackTransport implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_SOCKETS = 10_000;
    private static final int BUFFER_BYTES = 8192;

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final SocketBudget socketBudget = new SocketBudget(MAX_SOCKETS);
    private final StoppableEventLoop loop;
    private final HttpClient client;

    LoopbackTransport() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        XnioEventLoop ioLoop = new XnioEventLoop(worker.getIoThread());
        loop = new StoppableEventLoop(ioLoop);
        client = new UndertowHttpClient(ioLoop, buffers, socketBudget, Set.of());
    }

    StoppableEventLoop loop() {
        return loop;
    }

    HttpClient client() {
        return client;
    }

    /** Starts a server on a port that the operating system chooses, and returns the server's address. */
    String listen(Consumer<HttpExchange> handler) {
        return listenAt(LoopbackAddresses.addressWithAnyPort(), handler);
    }

    /**
     * Starts a server at this address; returns the server's address, which has the chosen port if the given port is 0.
     */
    String listenAt(String address, Consumer<HttpExchange> handler) {
        return HttpServer.start(worker, buffers, socketBudget, address, MAX_BODY_BYTES, handler::accept);
    }

    /** Stops the loop first, since a task that schedules another task on a worker that is shut down would fail. */
    @Override
    public void close() {
        loop.stop();
        worker.shutdownNow();
    }
}
