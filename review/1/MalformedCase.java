import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * One user sends one malformed submission, and repeats it as the protocol says while the answer is 503. Other users'
 * jobs are accepted before and submitted after. Exits with 1 if an accepted job is left waiting for 90 s, 0 if not, and 2
 * if the case can't run.
 */
public final class MalformedCase {
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
        // The machine list lags by 3 s; by now the machines are known to the service.
        world.waitFor(15, w -> w.now() > 6_500);
        // Six machines run 96 of these tasks at a time, so the job needs some rounds.
        World.Job tanks = world.job("run-000001", "tank-alert", "tai-chinh", "high", 300, 2, 4, 0.1, 3);
        World.Job settle = world.job("run-000002", "payment-settle", "dieu-phoi", "normal", 20, 8, 30, 0.1, 4);
        world.submit(tanks, null);
        world.submit(settle, null);
        if (!world.waitFor(12, w -> tanks.done.size() > 0 && settle.acceptedAt != 0)) {
            world.log("the first jobs do not run");
            return 2;
        }
        if (trouble) {
            world.log("TROUBLE the malformed submission in hex: "
                    + java.util.HexFormat.of().formatHex(malformedBody(world)));
            submitMalformed(world, world.now());
        }
        Thread.sleep(4000);
        world.checkWaitingEverySecond();
        for (int i = 3; i <= 6; i++) {
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

    private static void submitMalformed(World world, long since) {
        String to = world.balance();
        world.request("POST", world.publicAddr.get(to), "/v2/runs", malformedBody(world), 5).thenAccept(response -> {
            int status = response == null ? 0 : response.statusCode();
            world.log("TROUBLE malformed submission run-000900 at " + to + " answered " + status);
            if (status == 200 || status == 201) {
                world.violation("accepted", "a malformed submission is accepted at " + to);
            } else if (status != 400 && status != 422 && world.now() - since < 60_000) {
                world.after(1, () -> submitMalformed(world, since));
            }
        });
    }
}
