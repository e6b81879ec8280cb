import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One user sends one malformed submission, and repeats it twice, as the protocol says, while the answer is 503. Other users'
 * jobs are accepted before and submitted after. Exits with 1 if an accepted job is left waiting for 90 s, 0 if not, and 2
 * if the case can't run.
 */
public final class MalformedCase {
    private static volatile boolean gaveUp;

    private MalformedCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Sites.dongXanh(), Path.of(arguments[0]), Path.of(arguments[1]));
        int result = 2;
        try {
            result = run(world, trouble);
        } catch (Exception e) {
            world.log("the case could not run: " + e);
        } finally {
            world.log("result " + result + " " + world.broken);
            world.recordLogs(line -> line.startsWith("ERROR") || line.contains("Exception"), 6);
            world.recordLogs(line -> line.contains("role="), 12);
            world.close();
        }
        System.out.println("exit " + result + " " + world.broken);
        System.exit(result);
    }

    private static int run(World world, boolean trouble) throws Exception {
        world.open();
        // Of the 13 machines at the start, six are enough here.
        for (int i = 0; i < 6; i++) {
            world.cloud.upAtStart(world.site.types.get(0), world.site.zones[i % 3]);
        }
        for (String node : world.publicAddr.keySet()) {
            world.startController(node);
        }
        if (!world.waitFor(15, w -> w.allHealthy())) {
            world.log("the controllers are not healthy");
            return 2;
        }
        // By now the machines are known to the service.
        world.waitFor(15, w -> w.now() > 3_500);
        // Jobs of the classes of the site, with short tasks. Six machines run 48 of the 200 tasks at a time.
        List<World.Job> first = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            first.add(world.job("run-00000" + i, "tank-alert", "tai-chinh", "high", 50, 4, 8, 0.1, 5));
        }
        first.add(world.job("run-000005", "payment-settle", "dieu-phoi", "normal", 4, 8, 30, 0.1, 5));
        first.forEach(job -> world.submit(job, null));
        if (!world.waitFor(12, w -> first.stream().anyMatch(job -> !job.on.isEmpty())
                && first.stream().allMatch(job -> job.acceptedAt != 0))) {
            world.log("the first jobs do not run");
            return 2;
        }
        if (trouble) {
            world.log("TROUBLE the malformed submission in hex: "
                    + java.util.HexFormat.of().formatHex(malformedBody(world)));
            submitMalformed(world, 0);
            if (!world.waitFor(25, w -> gaveUp)) {
                return 2;
            }
        } else {
            Thread.sleep(8000);
        }
        // The troubles are over: from here on nobody sends anything malformed.
        world.checkWaitingEverySecond();
        for (int i = 6; i <= 9; i++) {
            world.submit(world.job("run-00000" + i, "route-plan", "dieu-phoi", "high", 5, 2, 3.9, 0.1, 12), null);
        }
        long end = world.now() + 97_000;
        while (world.now() < end && world.broken.isEmpty()) {
            Thread.sleep(200);
        }
        return world.broken.isEmpty() ? 0 : 1;
    }

    /**
     * A submission whose image name is not valid UTF-8: it ends in half of a surrogate pair, as a client writes it that
     * counts UTF-16 units and cuts a name inside a character. CBOR text must be valid UTF-8, so this is not CBOR.
     */
    private static byte[] malformedBody(World world) {
        byte[] body = World.bytes(
                world.job("run-000900", "route-plan", "tai-chinh", "high", 5, 2, 3.9, 0.1, 12).body.put("kit", "img-XXX"));
        byte[] name = "img-XXX".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i + name.length <= body.length; i++) {
            if (java.util.Arrays.equals(body, i, i + name.length, name, 0, name.length)) {
                body[i + 4] = (byte) 0xED;
                body[i + 5] = (byte) 0xA0;
                body[i + 6] = (byte) 0xBD;
                return body;
            }
        }
        throw new IllegalStateException("no image name in the submission");
    }

    /** Sends the submission, and repeats it twice while it is not refused; the load balancer chooses the nodes in turn. */
    private static void submitMalformed(World world, int tries) {
        String to = "perch-" + tries % 3;
        world.request("POST", world.publicAddr.get(to), "/v2/runs", malformedBody(world), 5).thenAccept(response -> {
            int status = response == null ? 0 : response.statusCode();
            world.log("TROUBLE malformed submission run-000900 at " + to + " answered " + status);
            if (status == 200 || status == 201) {
                world.violation("accepted", "a malformed submission is accepted at " + to);
            }
            boolean retried = status != 400 && status != 422 && status != 200 && status != 201;
            if (retried && tries < 2) {
                world.after(1, () -> submitMalformed(world, tries + 1));
            } else {
                world.log("the user of run-000900 sends it no more");
                gaveUp = true;
            }
        });
    }
}
