package org.gullway.controller;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gullway.protocol.MessageLimits;
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

/** Runs a controller as a process, with real sockets and clocks. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int CACHED_BUFFERS_PER_THREAD = 4;

    private Daemon() {}

    /**
     * Starts a controller. On return the peer address is open. The controller then joins the cluster and opens its
     * public address on other threads; if the public address cannot be opened, the process exits.
     *
     * @throws java.io.UncheckedIOException if the event loop cannot be started or the peer address cannot be opened
     */
    public static void start(Settings settings, OperatorSettings operatorSettings) {
        XnioWorker worker = newXnioWorker();
        ByteBufferPool buffers =
                new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, CACHED_BUFFERS_PER_THREAD);
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        SocketBudget socketBudget = new SocketBudget(settings.socketLimit());
        Controller controller = new Controller(
                settings,
                operatorSettings,
                loop,
                new UndertowHttpClient(loop, buffers, socketBudget, essentialAddresses(settings)),
                InstantSource.system(),
                randomSeed(settings.nodeName()));
        HttpServer.start(
                worker,
                buffers,
                socketBudget,
                settings.peerAddress(),
                MessageLimits.MAX_MESSAGE_BYTES,
                controller::handlePeer);
        LOG.info("listening for peers controller={} address={}", settings.nodeName(), settings.peerAddress());
        Runnable openPublicAddress = () -> openPublicAddress(worker, buffers, socketBudget, settings, controller);
        loop.execute(() -> controller.start(() -> worker.execute(openPublicAddress)));
    }

    private static long randomSeed(String node) {
        return System.nanoTime() ^ System.currentTimeMillis() << 20 ^ node.hashCode();
    }

    /** Returns the addresses to which connections are opened even if the socket budget is used up. */
    private static Set<String> essentialAddresses(Settings settings) {
        Set<String> addresses = new HashSet<>(List.of(settings.stateAddress(), settings.cloudAddress()));
        settings.peers().forEach(peer -> addresses.add(peer.address()));
        return addresses;
    }

    private static void openPublicAddress(
            XnioWorker worker,
            ByteBufferPool buffers,
            SocketBudget socketBudget,
            Settings settings,
            Controller controller) {
        String address = settings.publicAddress();
        try {
            HttpServer.start(worker, buffers, socketBudget, address, RequestRouter::bodyLimit, controller::handle);
            LOG.info("listening for users and agents controller={} address={}", settings.nodeName(), address);
        } catch (RuntimeException e) {
            // A controller that neither users nor agents can reach must not stay a member.
            LOG.error(
                    "cannot listen on the public address; exiting controller={} address={}",
                    settings.nodeName(),
                    address,
                    e);
            System.exit(1);
        }
    }

    private static XnioWorker newXnioWorker() {
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
            throw new UncheckedIOException("cannot create the XNIO worker of the event loop: " + e.getMessage(), e);
        }
    }
}
