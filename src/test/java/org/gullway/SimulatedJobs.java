package org.gullway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpStatus;

/** Builds the job arrays of simulated scenarios, and submits invalid jobs, which controllers must reject. */
final class SimulatedJobs {
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration QUERY_DELAY = Duration.ofSeconds(8);
    /** Jobs whose tasks need at least this many CPUs get the job class "survey", all others "render". */
    private static final double LARGE_TASK_CPUS = 16;

    private static final double CPUS_OF_NO_MACHINE = 64;

    private final SimulatedTime.SimulatedProcess loop;
    private final HttpClient client;
    private final InvariantChecker invariants;
    private final SplittableRandom random;
    private final List<String> addresses;

    /** @param addresses the public addresses of all controllers */
    SimulatedJobs(
            SimulatedTime.SimulatedProcess loop,
            HttpClient client,
            InvariantChecker invariants,
            SplittableRandom random,
            List<String> addresses) {
        this.loop = loop;
        this.client = client;
        this.invariants = invariants;
        this.random = random;
        this.addresses = addresses;
    }

    /** A job array whose id is "run-" and this number with six digits. */
    static JobRequest array(
            int number,
            String team,
            Priority priority,
            int tasks,
            double cpus,
            Duration runTime,
            SimulatedCluster.JobConstraints constraints) {
        return new JobRequest(
                String.format("run-%06d", number),
                cpus >= LARGE_TASK_CPUS ? "survey" : "render",
                team,
                JobRequest.Shape.ARRAY,
                priority,
                tasks,
                cpus,
                0,
                cpus,
                "img-" + number % 3,
                0.5,
                constraints.machineTypes(),
                constraints.zone(),
                constraints.singleZone(),
                constraints.spreadAcrossZones(),
                constraints.spotAllowed(),
                runTime,
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    /** Submits one job that lacks a field and one whose tasks fit no machine; both must be rejected and not stored. */
    void submitInvalid(int number) {
        ObjectNode incomplete = array(number, 4).toNode();
        incomplete.remove("crew");
        submitInvalid(incomplete, HttpStatus.BAD_REQUEST);
        submitInvalid(array(number + 1, CPUS_OF_NO_MACHINE).toNode(), HttpStatus.UNPROCESSABLE);
    }

    private static JobRequest array(int number, double cpus) {
        return array(
                number, "blue", Priority.HIGH, 2, cpus, Duration.ofSeconds(5), SimulatedCluster.JobConstraints.SPREAD);
    }

    private void submitInvalid(ObjectNode job, int expectedStatus) {
        String id = job.path("name_id").asText();
        String address = addresses.get(random.nextInt(addresses.size()));
        client.call(address, HttpRequest.post("/v2/runs", Cbor.encode(job), SUBMISSION_TIMEOUT), response -> {
            if (!invariants.onInvalidSubmission(id, expectedStatus, response.status())) {
                loop.after(RETRY_DELAY, () -> submitInvalid(job, expectedStatus));
            }
        });
        loop.after(
                QUERY_DELAY,
                () -> client.call(
                        address,
                        HttpRequest.get("/v2/runs/" + id, QUERY_TIMEOUT),
                        response -> invariants.onInvalidJobQueried(id, response.status())));
    }
}
