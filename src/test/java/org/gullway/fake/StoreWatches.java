package org.gullway.fake;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.gullway.protocol.Cbor;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/**
 * The open watches of the state store. A watch is answered as soon as there is a change under its prefix after its
 * revision, and at its timeout without one. The watches of a client that is not served stay open.
 */
final class StoreWatches {
    private static final class Watch {
        private final String client;
        private final String prefix;
        private final long afterRevision;
        private final HttpExchange exchange;
        private Runnable cancelTimeout = () -> {};
        private boolean timedOut;

        Watch(String client, String prefix, long afterRevision, HttpExchange exchange) {
            this.client = client;
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.exchange = exchange;
        }
    }

    private final EventLoop loop;
    private final StoreContents contents;
    private final Predicate<String> servesClient;
    private final List<Watch> open = new ArrayList<>();

    /** @param servesClient whether the watches of a client may be answered now */
    StoreWatches(EventLoop loop, StoreContents contents, Predicate<String> servesClient) {
        this.loop = loop;
        this.contents = contents;
        this.servesClient = servesClient;
    }

    /** Opens a watch for all changes under the prefix after the revision. */
    void open(String client, String prefix, long afterRevision, Duration timeout, HttpExchange exchange) {
        Watch watch = new Watch(client, prefix, afterRevision, exchange);
        watch.cancelTimeout = loop.after(timeout, () -> {
            watch.timedOut = true;
            answerDueWatches();
        });
        open.add(watch);
        answerDueWatches();
    }

    /** Answers the watches that have changes to report or have timed out. */
    void answerDueWatches() {
        for (Watch watch : List.copyOf(open)) {
            if (servesClient.test(watch.client)
                    && (watch.timedOut || contents.changedAfter(watch.afterRevision, watch.prefix))) {
                open.remove(watch);
                watch.cancelTimeout.run();
                answer(watch);
            }
        }
    }

    private void answer(Watch watch) {
        ObjectNode node = Cbor.map();
        node.set("logline", UnsignedNumbers.node(contents.revision()));
        ArrayNode events = node.putArray("events");
        for (StoreContents.Event event : contents.eventsAfter(watch.afterRevision)) {
            if (event.key().startsWith(watch.prefix)) {
                ObjectNode item = events.addObject();
                item.set("mark", UnsignedNumbers.node(event.revision()));
                if (event.value() == null) {
                    item.put("remove", event.key());
                } else {
                    item.put("put", event.key()).set("v", event.value());
                }
            }
        }
        watch.exchange.respond(HttpStatus.OK, Cbor.encode(node));
    }
}
