package org.gullway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/**
 * Checks the protocol's limit for message sizes, which are counted as JSON: it holds for all requests, and for the
 * controllers' responses to agents and users.
 */
final class MessageSizeRule implements SimulatedNetwork.TrafficListener {
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    /** A message of the protocol is at most this many times as long in JSON as it is in CBOR. */
    private static final int MAX_JSON_EXPANSION = 3;

    private final List<String> violations;
    private final Set<String> controllerAddresses;
    private final SimulatedNetwork.TrafficListener next;

    /**
     * @param violations collects the violations
     * @param next is notified of the same traffic
     */
    MessageSizeRule(
            List<String> violations, Collection<String> controllerAddresses, SimulatedNetwork.TrafficListener next) {
        this.violations = violations;
        this.controllerAddresses = Set.copyOf(controllerAddresses);
        this.next = next;
    }

    @Override
    public void sent(String from, String address, HttpRequest request) {
        check("request " + request.path() + " of " + from + " to " + address, request.body());
        next.sent(from, address, request);
    }

    @Override
    public void completed(String from, String address, HttpResponse response) {
        if (controllerAddresses.contains(address) && response.outcome() == HttpResponse.Outcome.ANSWERED) {
            check("response of " + address + " to " + from, response.body());
        }
        next.completed(from, address, response);
    }

    private void check(String message, byte[] body) {
        int bytes = body.length * MAX_JSON_EXPANSION <= MAX_MESSAGE_BYTES ? body.length : jsonBytes(body);
        if (bytes > MAX_MESSAGE_BYTES) {
            violations.add("message_too_large: " + message + " has " + bytes + " bytes");
        }
    }

    /** The length as JSON. Messages between controllers have a format of their own and are measured as they are. */
    private static int jsonBytes(byte[] body) {
        try {
            ObjectNode message = Cbor.decode(body);
            return message.toString().length();
        } catch (MalformedMessageException e) {
            return body.length;
        }
    }
}
