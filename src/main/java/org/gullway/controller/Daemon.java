package org.gullway.controller;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpServer;
import org.gullway.transport.SocketBudget;
import org.gullway.transport.UndertowHttpClient;
import org.gullway.transport.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A controller on real sockets and clocks. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final int BODY_LIMIT = 64 * 1024;
    private static final int BUFFER = 8 * 1024;

    private Daemon() {}

    /** Starts a controller; returns once its event loop runs. */
    public static void start(Settings settings, OperatorSettings operator) {
        XnioWorker worker = worker();
        ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER, 256, 4);
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        long seed = System.nanoTime()
                ^ System.currentTimeMillis() << 20
                ^ settings.nodeName().hashCode();
        SocketBudget socketBudget = new SocketBudget(settings.socketLimit());
        Set<String> essential = new HashSet<>(List.of(settings.stateAddress(), settings.cloudAddress()));
        settings.peers().forEach(peer -> essential.add(peer.address()));
        Controller controller = new Controller(
                settings,
                operator,
                loop,
                new UndertowHttpClient(loop, buffers, socketBudget, essential),
                InstantSource.system(),
                seed);
        HttpServer.start(worker, buffers, socketBudget, settings.peerAddress(), BODY_LIMIT, controller::handlePeer);
        LOG.info("{} listens on {} to the other controllers", settings.nodeName(), settings.peerAddress());
        loop.execute(() -> controller.start(() -> worker.execute(() -> {
            try {
                HttpServer.start(
                        worker, buffers, socketBudget, settings.publicAddress(), BODY_LIMIT, controller::handle);
                LOG.info("{} listens on {}", settings.nodeName(), settings.publicAddress());
            } catch (RuntimeException e) {
                // A controller that nobody can reach must not stay a member.
                LOG.error("cannot listen on {}", settings.publicAddress(), e);
                System.exit(1);
            }
        })));
    }

    private static XnioWorker worker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "gullway")
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the event loop", e);
        }
    }
}
