package org.gullway.cloud;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.scaling.ProvisioningRequest;
import org.gullway.fake.SimulatedTime;
import org.junit.jupiter.api.Test;

class CloudClientTest {
    private static final String UNENCODABLE = "x\uD83D";

    private final List<String> calls = new ArrayList<>();
    private final CloudClient client = new CloudClient(
            new SimulatedTime().newProcess(), (address, request, callback) -> calls.add(address), "10.2.0.2:8443", 10);

    /**
     * Guards against a leader that provisions or releases nothing any more: without an outcome, a request counts as
     * pending for good, and no other is sent.
     */
    @Test
    void requestThatCannotBeEncodedHasAnOutcome() {
        List<Object> outcomes = new ArrayList<>();
        Throwable provisioning = catchThrowable(() -> client.provision(
                "perch-0-1",
                new ProvisioningRequest(UNENCODABLE, "a", true, 1),
                outcome -> outcomes.add(outcome.status())));
        Throwable release =
                catchThrowable(() -> client.release(List.of(UNENCODABLE), response -> outcomes.add(response.isOk())));
        assertThat(outcomes).containsExactly(ProvisioningOutcome.Status.REFUSED, false);
        assertThat(calls).isEmpty();
        assertThat(provisioning).isNull();
        assertThat(release).isNull();
    }
}
