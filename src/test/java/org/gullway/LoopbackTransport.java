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

/** The event loop of this process with one client and with servers on loopback. */
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

    /** Starts a server and returns the address that it got. */
    String listen(Consumer<HttpExchange> handler) {
        return listenAt(LoopbackAddresses.anyPort(), handler);
    }

    /** Starts a server at this address and returns the one that it got. */
    String listenAt(String address, Consumer<HttpExchange> handler) {
        return HttpServer.start(worker, buffers, socketBudget, address, MAX_BODY_BYTES, handler::accept);
    }

    /** Stops the loop first: a task that schedules another one on a closed worker would fail. */
    @Override
    public void close() {
        loop.stop();
        worker.shutdownNow();
    }
}
