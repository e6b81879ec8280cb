package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Messages that are encoded and decoded again are unchanged. Invalid messages and settings are rejected, and the errors
 * of numbers and settings name the field.
 */
class FormatsTest {
    @Provide
    Arbitrary<JobRequest> requests() {
        Arbitrary<Double> amounts = Arbitraries.doubles().between(0.5, 64).ofScale(2);
        Arbitrary<Duration> durations =
                Arbitraries.longs().between(0, 3_600_000).map(Duration::ofMillis);
        return Combinators.combine(
                        Arbitraries.integers().between(1, 999_999),
                        Arbitraries.of(Priority.values()),
                        Arbitraries.integers().between(1, JobRequest.MAX_TASKS),
                        amounts,
                        durations,
                        Arbitraries.of(JobRequest.Shape.values()),
                        Arbitraries.of(true, false),
                        Arbitraries.strings()
                                .alpha()
                                .ofMinLength(1)
                                .ofMaxLength(12)
                                .list()
                                .ofMaxSize(3)
                                .injectNull(0.3))
                .as((id, priority, tasks, amount, duration, shape, flag, types) -> new JobRequest(
                        String.format("run-%06d", id),
                        "render",
                        "red",
                        shape,
                        priority,
                        tasks,
                        amount,
                        0,
                        amount,
                        "img-1",
                        amount,
                        types,
                        flag ? "a" : null,
                        flag,
                        !flag,
                        flag,
                        duration,
                        duration,
                        duration,
                        flag ? duration : null));
    }

    @Property(tries = 300, seed = "1")
    void jobRequestsRoundTrip(@ForAll("requests") JobRequest request) throws MalformedMessageException {
        assertThat(JobRequest.parse(Cbor.decode(Cbor.encode(request.toNode())))).isEqualTo(request);
    }

    @Property(tries = 2000, seed = "2")
    void corruptedSubmissionsAreRejectedOrStillValid(@ForAll("requests") JobRequest request, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] body = Cbor.encode(request.toNode());
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        try {
            JobRequest read = JobRequest.parse(Cbor.decode(body));
            assertThat(read.tasks()).isBetween(1, JobRequest.MAX_TASKS);
            assertThat(read.cpus()).isPositive().isFinite();
        } catch (MalformedMessageException e) {
            assertThat(e.getMessage()).isNotBlank();
        }
    }

    @ParameterizedTest
    @CsvSource({"name_id,job-1", "name_id,run-", "herd,", "rank,urgent", "shape,swarm", "crew,"})
    void invalidTextsAreRejected(String field, String value) {
        ObjectNode node = validSubmission();
        node.put(field, value == null ? "" : value);
        assertThatThrownBy(() -> JobRequest.parse(node)).isInstanceOf(MalformedMessageException.class);
    }

    @ParameterizedTest
    @CsvSource({"legs,0", "legs,-1", "legs,100001", "cpus,0", "cpus,-4", "mem_gb,-1", "cards,1e300", "reckon_s,-1"})
    void invalidNumbersAreRejectedWithTheFieldName(String field, double value) {
        ObjectNode node = validSubmission();
        if (field.equals("legs")) {
            node.put(field, (long) value);
        } else {
            node.put(field, value);
        }
        assertThatThrownBy(() -> JobRequest.parse(node)).hasMessageContaining(field);
        assertThatThrownBy(() -> JobRequest.parse(validSubmission().put(field, Double.NaN)))
                .hasMessageContaining(field);
        assertThatThrownBy(() -> JobRequest.parse(validSubmission().put(field, "4")))
                .hasMessageContaining(field);
    }

    private static ObjectNode validSubmission() {
        return new JobRequest(
                        "run-000001",
                        "render",
                        "red",
                        JobRequest.Shape.ARRAY,
                        Priority.HIGH,
                        2,
                        4,
                        0,
                        8,
                        "img-1",
                        1,
                        null,
                        null,
                        false,
                        false,
                        true,
                        Duration.ofSeconds(9),
                        Duration.ZERO,
                        Duration.ZERO,
                        null)
                .toNode();
    }

    @Test
    void bodiesOtherThanASingleMapAreRejected() {
        assertThatThrownBy(() -> Cbor.decode(new byte[0])).isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> Cbor.decode(new byte[] {0x01})).isInstanceOf(MalformedMessageException.class);
        byte[] twoMaps = new byte[] {(byte) 0xa0, (byte) 0xa0};
        assertThatThrownBy(() -> Cbor.decode(twoMaps)).isInstanceOf(MalformedMessageException.class);
        byte[] nestedLists = new byte[60_000];
        Arrays.fill(nestedLists, (byte) 0x81);
        assertThatThrownBy(() -> Cbor.decode(nestedLists)).isInstanceOf(MalformedMessageException.class);
    }

    private static final String SETTINGS =
            """
            node_name = "perch-0"
            site = "a"
            public_addr = "10.0.0.1:8080"
            mesh_addr = "10.0.0.1:8081"
            unknown = 7
            [[seeds]]
            node_name = "perch-1"
            site = "a"
            addr = "10.0.0.2:8081"
            [external]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [[facts.teams]]
            name = "red"
            cpus = 8.0
            cpus_max = 16.0
            [facts.workers]
            report_s = 3.0
            lease_s = 32.0
            cancel_s = 62.0
            [facts.state]
            rps = 150.0
            write_rps = 30.0
            value_kb = 16.0
            txn_ops = 24
            [facts.cloud]
            rps = 10.0
            list_lag_s = 6.0
            [facts.quota]
            sockets = 3000
            """;

    /** Guards the second check, behind the one of the encoded body: half of a surrogate pair is no text of a field. */
    @Test
    void textsWithHalfOfASurrogatePairAreRejected() {
        for (String text : List.of("img-\uD83D", "\uDE00-img", "\uDE00\uD83D")) {
            for (String field : List.of("herd", "crew", "kit", "shore")) {
                assertThatThrownBy(() -> JobRequest.parse(validSubmission().put(field, text)))
                        .isInstanceOf(MalformedMessageException.class)
                        .hasMessageContaining(field);
            }
            ObjectNode node = validSubmission();
            node.putArray("breeds").add(text);
            assertThatThrownBy(() -> JobRequest.parse(node)).hasMessageContaining("breeds");
        }
    }

    private static Settings settings(String text) throws Exception {
        return Settings.of(new TomlMapper().readTree(text));
    }

    @Test
    void settingsAreRead() throws Exception {
        Settings read = settings(SETTINGS);
        assertThat(read.agentLease()).isEqualTo(Duration.ofSeconds(32));
        assertThat(read.peers()).containsExactly(new Settings.Peer("perch-1", "a", "10.0.0.2:8081"));
        assertThat(read.teams()).containsKey("red");
    }

    @ParameterizedTest
    @CsvSource({
        "lease_s = 32.0,lease_s = -1,lease_s",
        "lease_s = 32.0,lease_s = 0,lease_s",
        "10.0.0.1:8080,perch:8080,public_addr",
        "txn_ops = 24,txn_ops = 0,txn_ops",
        "rps = 10.0,rps = \"x\",rps",
        "state = \"10.2.0.1:2379\",,state",
        "sockets = 3000,,sockets"
    })
    void errorsInSettingsNameTheField(String original, String replacement, String field) {
        String text = SETTINGS.replace(original, replacement == null ? "" : replacement);
        assertThatThrownBy(() -> settings(text))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining(field);
    }

    @Test
    void operatorSettingsAreReadAndChecked() throws Exception {
        XmlMapper xml = new XmlMapper();
        OperatorSettings read = OperatorSettings.of(xml.readTree("<gullway><spare-share>2</spare-share></gullway>"));
        assertThat(read.spareCapacityFraction()).isEqualTo(2);
        assertThat(read.scaleInDelay()).isEqualTo(OperatorSettings.DEFAULTS.scaleInDelay());
        for (String invalid : List.of(
                "<spare-share>-1</spare-share>",
                "<spare-share>much</spare-share>",
                "<spare-share>NaN</spare-share>",
                "<boot-patience>0</boot-patience>",
                "<colour>red</colour>")) {
            assertThatThrownBy(() -> OperatorSettings.of(xml.readTree("<gullway>" + invalid + "</gullway>")))
                    .isInstanceOf(MalformedMessageException.class)
                    .hasMessageContaining(invalid.substring(1, invalid.indexOf('>')));
        }
    }
}
