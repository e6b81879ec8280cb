package org.gullway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * Delivers copies of every command batch with a start to the same agent again, at each of several ages, whether or not
 * the batch was carried out and answered before.
 */
final class RepeatedStarts implements SimulatedNetwork.TrafficListener {
    /** Ages of the copies: within the round trip, around the limits of timeouts and leases, and up to minutes. */
    static final List<Duration> AGES = List.of(
            Duration.ofMillis(2),
            Duration.ofMillis(40),
            Duration.ofMillis(300),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(7),
            Duration.ofSeconds(15),
            Duration.ofSeconds(25),
            Duration.ofSeconds(45),
            Duration.ofSeconds(70),
            Duration.ofSeconds(120),
            Duration.ofSeconds(200));

    private static final String COPY_SENDER = "copies";
    private static final String PATH = "/do";

    private final SimulatedTime.SimulatedProcess process;
    private final List<Duration> ages;
    private final Map<Integer, Integer> responsesByStatus = new HashMap<>();
    private HttpClient client;

    RepeatedStarts(SimulatedTime time, List<Duration> ages) {
        this.process = time.newProcess();
        this.ages = ages;
    }

    /** Sets the network over which the copies are sent; none are sent before. */
    void sendOver(SimulatedNetwork network) {
        client = network.client(COPY_SENDER, process);
    }

    @Override
    public void sent(String from, String address, HttpRequest request) {
        if (client != null && !from.equals(COPY_SENDER) && request.path().equals(PATH) && hasStart(request)) {
            for (Duration age : ages) {
                process.after(age, () -> client.call(address, request, this::onResponse));
            }
        }
    }

    private void onResponse(HttpResponse response) {
        responsesByStatus.merge(response.status(), 1, Integer::sum);
    }

    @Override
    public void completed(String from, String address, HttpResponse response) {}

    /** The number of copies that were answered with this status. */
    int answeredWith(int status) {
        return responsesByStatus.getOrDefault(status, 0);
    }

    private static boolean hasStart(HttpRequest request) {
        try {
            for (JsonNode command : Cbor.decode(request.body()).path("calls")) {
                if (command.path("call").asText().equals("start")) {
                    return true;
                }
            }
            return false;
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
