package org.gullway.cloud;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gullway.coordination.scaling.ProvisioningRequest;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client of the cloud provider's API. Callers must acquire a token with {@link #tryAcquire} before each request,
 * except for the further pages of a machine list and for repetitions of a provisioning request. Every request has one
 * outcome, also if it cannot be encoded, since callers wait for the outcome before they send the next.
 */
public final class CloudClient {
    private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String MACHINE_TYPES_PATH = "/flavors";
    private static final String MACHINES_PATH = "/rentals";
    private static final String RELEASE_PATH = "/rentals/return";

    private final HttpClient httpClient;
    private final String address;
    private final TokenBucket rateLimit;

    /** @param requestsPerSecond the provider's rate limit, which applies to all controllers together */
    public CloudClient(EventLoop loop, HttpClient httpClient, String address, double requestsPerSecond) {
        this.httpClient = httpClient;
        this.address = address;
        this.rateLimit = new TokenBucket(loop, requestsPerSecond);
    }

    @FunctionalInterface
    private interface Decoder<T> {
        T decode(byte[] body, Consumer<String> onMalformedItem) throws MalformedMessageException;
    }

    /** Takes a token of the rate limit for one request. Returns false if there is none. */
    boolean tryAcquire() {
        if (!rateLimit.hasToken()) {
            return false;
        }
        rateLimit.consume(1);
        return true;
    }

    /** Fetches the machine types that the provider offers. The callback gets an empty value if the request fails. */
    void fetchMachineTypes(Consumer<Optional<List<MachineType>>> callback) {
        httpClient.call(
                address,
                HttpRequest.get(MACHINE_TYPES_PATH, TIMEOUT),
                response -> callback.accept(decode(response, CloudMessages::decodeTypes, MACHINE_TYPES_PATH)));
    }

    /**
     * Fetches one page of the machine list.
     *
     * @param after name of the machine after which the page begins; empty for the first page
     * @param callback gets an empty value if the request fails
     */
    void fetchMachines(String after, Consumer<Optional<CloudMessages.Page>> callback) {
        String path = MACHINES_PATH + "?from=" + after + "&page=" + CloudMessages.PAGE_SIZE;
        httpClient.call(
                address,
                HttpRequest.get(path, TIMEOUT),
                response -> callback.accept(decode(response, CloudMessages::decodePage, MACHINES_PATH)));
    }

    private static <T> Optional<T> decode(HttpResponse response, Decoder<T> decoder, String path) {
        if (!response.isOk()) {
            return Optional.empty();
        }
        try {
            return Optional.of(decoder.decode(
                    response.body(),
                    error -> LOG.error("ignored a malformed item of cloud provider path={} error={}", path, error)));
        } catch (MalformedMessageException e) {
            LOG.error("malformed response from cloud provider path={} error={}", path, e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Requests machines.
     *
     * @param requestId identifies the request; the provider processes repeated requests with the same id only once
     */
    void provision(String requestId, ProvisioningRequest request, Consumer<ProvisioningOutcome> callback) {
        byte[] body;
        try {
            body = CloudMessages.encodeProvisionRequest(
                    requestId, request.type(), request.zone(), request.spot(), request.count());
        } catch (RuntimeException e) {
            logNotEncodable(MACHINES_PATH, e);
            callback.accept(
                    ProvisioningOutcome.withoutMachines(ProvisioningOutcome.Status.REFUSED, HttpResponse.notSent()));
            return;
        }
        httpClient.call(
                address,
                HttpRequest.post(MACHINES_PATH, body, TIMEOUT),
                response -> callback.accept(outcome(requestId, response)));
    }

    private static void logNotEncodable(String path, RuntimeException exception) {
        LOG.error("could not encode a request to the cloud provider and did not send it path={}", path, exception);
    }

    private static ProvisioningOutcome outcome(String requestId, HttpResponse response) {
        if (response.isOk()) {
            try {
                return ProvisioningOutcome.provisioned(CloudMessages.decodeProvisioned(response.body()), response);
            } catch (MalformedMessageException e) {
                LOG.error(
                        "malformed response from cloud provider path={} request={} error={}",
                        MACHINES_PATH,
                        requestId,
                        e.getMessage());
                return ProvisioningOutcome.withoutMachines(ProvisioningOutcome.Status.MALFORMED, response);
            }
        }
        boolean refused = response.outcome() == HttpResponse.Outcome.ANSWERED
                && (response.status() == HttpStatus.SERVICE_UNAVAILABLE || response.status() == HttpStatus.BAD_REQUEST);
        return ProvisioningOutcome.withoutMachines(
                refused ? ProvisioningOutcome.Status.REFUSED : ProvisioningOutcome.Status.UNKNOWN, response);
    }

    /** Releases machines and passes the provider's response to the callback. */
    void release(List<String> machines, Consumer<HttpResponse> callback) {
        byte[] body;
        try {
            body = CloudMessages.encodeRelease(machines);
        } catch (RuntimeException e) {
            logNotEncodable(RELEASE_PATH, e);
            callback.accept(HttpResponse.notSent());
            return;
        }
        httpClient.call(address, HttpRequest.post(RELEASE_PATH, body, TIMEOUT), callback);
    }
}
