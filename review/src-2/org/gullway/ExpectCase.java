package org.gullway;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.Cbor;

/**
 * A user submits a job with the JDK's HTTP/1.1 client, which asks for an interim answer before it sends the body
 * ({@code Expect: 100-continue}). As the page has it, the user repeats the submission at the nodes in turn, 1 s after
 * each attempt without an answer within 5 s, for 60 s. The rule is broken if no attempt gets any answer.
 */
final class ExpectCase {
    private static final double TOTAL_S = 60;

    private ExpectCase() {}

    public static void main(String[] args) {
        Rig.runCase(Rig.Site.dongXanh(1.5), 1, Path.of(args[0]), new Rig.Observer() {}, rig -> {}, ExpectCase::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        var job = Rig.job("run-000777", "tank-alert", "dieu-phoi", "high", 1, 4, 8);
        rig.upload(job, 5);
        Map<String, HttpClient> clients = new HashMap<>();
        double begin = rig.seconds();
        for (int i = 0; rig.seconds() - begin < TOTAL_S; i++) {
            String node = Rig.NODES.get(i % 3);
            HttpClient client = clients.computeIfAbsent(
                    node,
                    n -> HttpClient.newBuilder()
                            .version(HttpClient.Version.HTTP_1_1)
                            .build());
            try {
                HttpResponse<byte[]> answer = client.send(
                        HttpRequest.newBuilder(URI.create("http://" + rig.publicAddresses.get(node) + "/v2/runs"))
                                .timeout(Duration.ofSeconds(5))
                                .expectContinue(trouble)
                                .header("Content-Type", "application/cbor")
                                .POST(HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(job)))
                                .build(),
                        HttpResponse.BodyHandlers.ofByteArray());
                rig.note("submission controller=" + node + " answer=" + answer.statusCode());
                if (answer.statusCode() == 201 || answer.statusCode() == 200) {
                    return true;
                }
            } catch (HttpTimeoutException e) {
                rig.note("submission controller=" + node + " no answer within 5 s");
            }
            rig.note("health controller=" + node + " answer="
                    + rig.call(node, "GET", "/up", null, 1).status());
            Thread.sleep(1000);
        }
        return false;
    }
}
