package org.gullway.protocol;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A controller's settings, read from the TOML file that the platform provides.
 *
 * @param nodeName the name of this controller
 * @param publicAddress the address at which the controller accepts requests from users and agents
 * @param peerAddress the address at which the controller accepts requests from its peers
 * @param stateAddress the address of the state store
 * @param teams the teams by name
 * @param heartbeatInterval time between two heartbeats of an agent
 * @param agentLease how long an agent's lease lasts after a renewal
 * @param cancellationLimit how long tasks may still run after the cancellation of their job was confirmed to the user
 * @param stateRequestsPerSecond the state store's rate limit on requests, for all controllers together
 * @param stateChangesPerSecond the state store's rate limit on changes, for all controllers together
 * @param stateValueBytes the maximum size of a value in the state store
 * @param stateChangesPerCommit the maximum number of changes in one commit
 * @param cloudListLag the longest delay with which the cloud provider's machine list shows a change
 * @param socketLimit the maximum number of sockets that the controller may have open at a time
 */
public record Settings(
        String nodeName,
        String zone,
        String publicAddress,
        String peerAddress,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        Map<String, Team> teams,
        List<Objective> objectives,
        Duration heartbeatInterval,
        Duration agentLease,
        Duration cancellationLimit,
        double stateRequestsPerSecond,
        double stateChangesPerSecond,
        int stateValueBytes,
        int stateChangesPerCommit,
        double cloudRequestsPerSecond,
        Duration cloudListLag,
        int socketLimit) {

    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");

    /** Another controller: its name, its zone, and the address at which it accepts requests from its peers. */
    public record Peer(String name, String zone, String address) {}

    /**
     * A team with its guaranteed quota and its limit, each for CPUs and GPUs. A guarantee of 0 means that nothing is
     * guaranteed, and a limit of 0 means that there is no limit.
     *
     * @param cpus the guaranteed number of CPUs
     * @param cpusMax the limit on the number of CPUs
     * @param gpus the guaranteed number of GPUs
     * @param gpusMax the limit on the number of GPUs
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /**
         * The limit of a team without one. It is larger than any fleet, but small enough that rounding errors in sums
         * of quota partitions, into which a team's quota is divided, do not matter.
         */
        private static final double UNLIMITED = 1e7;

        public double cpusLimit() {
            return cpusMax == 0 ? UNLIMITED : cpusMax;
        }

        public double gpusLimit() {
            return gpusMax == 0 ? UNLIMITED : gpusMax;
        }
    }

    /** A service-level objective for one class of jobs; {@code timeLimit} is null for an objective without one. */
    public record Objective(String kind, String jobClass, Duration timeLimit) {}

    /**
     * Reads the TOML file that the platform provides.
     *
     * @throws MalformedMessageException if the file cannot be read or a field is invalid; its message is one line
     */
    public static Settings read(Path file) throws MalformedMessageException {
        JsonNode root;
        try (InputStream in = Files.newInputStream(file);
                JsonParser parser = new TomlFactory().createParser(in)) {
            root = JsonTrees.readNext(parser);
        } catch (JacksonException e) {
            throw new MalformedMessageException(
                    file + " is not TOML: " + MalformedMessageException.toSingleLine(e.getOriginalMessage()), e);
        } catch (IOException e) {
            throw new MalformedMessageException("cannot read " + file + ": " + e, e);
        }
        return of(root);
    }

    static Settings of(JsonNode root) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(root);
        List<Peer> peers = peers(fields);
        MessageFields external = fields.nested("external");
        MessageFields facts = fields.nested("facts");
        Map<String, Team> teams = teams(facts);
        List<Objective> objectives = objectives(facts);
        MessageFields workers = facts.nested("workers");
        MessageFields state = facts.nested("state");
        MessageFields cloud = facts.nested("cloud");
        return new Settings(
                fields.text("node_name"),
                fields.text("site"),
                address(fields, "public_addr"),
                address(fields, "mesh_addr"),
                peers,
                address(external, "cloud"),
                address(external, "state"),
                teams,
                objectives,
                positiveDuration(workers, "report_s"),
                positiveDuration(workers, "lease_s"),
                positiveDuration(workers, "cancel_s"),
                state.positive("rps"),
                state.positive("write_rps"),
                (int) (state.positive("value_kb") * 1024),
                positiveCount(state, "txn_ops"),
                cloud.positive("rps"),
                cloud.seconds("list_lag_s"),
                positiveCount(facts.nested("quota"), "sockets"));
    }

    private static List<Peer> peers(MessageFields fields) throws MalformedMessageException {
        List<Peer> peers = new ArrayList<>();
        for (MessageFields seed : fields.list("seeds")) {
            peers.add(new Peer(seed.text("node_name"), seed.text("site"), address(seed, "addr")));
        }
        return List.copyOf(peers);
    }

    private static Map<String, Team> teams(MessageFields facts) throws MalformedMessageException {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (MessageFields fields : facts.list("teams")) {
            Team team = new Team(
                    fields.text("name"),
                    fields.amount("cpus"),
                    fields.amount("cpus_max"),
                    fields.has("gpus") ? fields.amount("gpus") : 0,
                    fields.has("gpus_max") ? fields.amount("gpus_max") : 0);
            if (teams.put(team.name(), team) != null) {
                throw new MalformedMessageException("facts.teams names " + team.name() + " twice");
            }
        }
        return Map.copyOf(teams);
    }

    private static List<Objective> objectives(MessageFields facts) throws MalformedMessageException {
        List<Objective> objectives = new ArrayList<>();
        for (MessageFields fields : facts.list("objectives")) {
            // An objective without a kind or a class is skipped, and an unknown kind is kept, so that neither prevents
            // a start.
            if (fields.has("kind") && fields.has("class")) {
                objectives.add(
                        new Objective(fields.text("kind"), fields.text("class"), fields.secondsOrNull("within_s")));
            }
        }
        return List.copyOf(objectives);
    }

    private static String address(MessageFields fields, String name) throws MalformedMessageException {
        String text = fields.text(name);
        if (!ADDRESS.matcher(text).matches()) {
            throw new MalformedMessageException(name + " is not an address like 10.0.0.1:8080");
        }
        return text;
    }

    private static Duration positiveDuration(MessageFields fields, String name) throws MalformedMessageException {
        Duration duration = fields.seconds(name);
        if (duration.isZero()) {
            throw new MalformedMessageException(name + " must be above 0 seconds, got 0");
        }
        return duration;
    }

    private static int positiveCount(MessageFields fields, String name) throws MalformedMessageException {
        int count = fields.countUpTo(name, 1_000_000);
        if (count < 1) {
            throw new MalformedMessageException(name + " must be at least 1, got " + count);
        }
        return count;
    }
}
