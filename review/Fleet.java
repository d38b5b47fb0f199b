import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's programs as the platform does: by the `run` lines of the deploy file, with its settings template. */
final class Fleet implements AutoCloseable {
    /** One machine: a loopback address of its own, with the same ports on each. */
    static final class Machine {
        final String name;
        final String role;
        final String ip;
        final String front;
        final String zone;
        Process process;

        Machine(String name, String role, String ip, String front, String zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.front = front;
            this.zone = zone;
        }
    }

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern TEMPLATE = Pattern.compile("(?m)^template = \"(.*)\"$");

    final Path folder;
    final List<Machine> machines = new ArrayList<>();
    private final Path root;
    private final String storeAddress;
    private final String deployFile;
    private final int[] ports = new int[4];

    Fleet(Path root, String storeAddress) throws IOException {
        this.root = root;
        this.storeAddress = storeAddress;
        folder = Files.createTempDirectory("tanagerlane-review-");
        deployFile = Files.readString(root.resolve("deploy/system.toml"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        for (int number = 0; number < ports.length; number++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[number] = socket.getLocalPort();
            }
        }
    }

    /** Starts a machine with the role [role]; [number] is unique among all machines of the case. */
    Machine start(String role, int number, String zone) throws IOException {
        String ip = "127.0.77." + (10 + number);
        String front = role.equals("entry") ? ip + ":" + ports[0] : null;
        Machine machine = new Machine(role + "-" + zone + "-" + number, role, ip, front, zone);
        machines.add(machine);
        start(machine);
        return machine;
    }

    /** Starts the process of [machine], also again after it has ended. */
    void start(Machine machine) throws IOException {
        String section = deployFile.substring(deployFile.indexOf("[roles." + machine.role + "]"));
        Path settings = folder.resolve(machine.name + ".settings");
        String template = Files.readString(root.resolve(first(TEMPLATE, section)));
        Files.writeString(settings, rendered(template, valuesFor(machine)));
        ProcessBuilder builder = new ProcessBuilder(first(RUN, section).split(" ")).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("TANAGERLANE_SETTINGS", settings.toString());
        File log = folder.resolve(machine.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        machine.process = builder.start();
    }

    private Map<String, String> valuesFor(Machine machine) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("role", machine.role);
        values.put("node_name", machine.name);
        values.put("zone", machine.zone);
        values.put("ip", machine.ip);
        values.put("bounds.grace_s", "8");
        values.put("bounds.status_s", "120");
        values.put("bounds.config_ms", "2000");
        values.put("platform.value_bytes", "1048576");
        values.put("platform.address", storeAddress);
        values.put("internal_ports.0", String.valueOf(ports[2]));
        values.put("internal_ports.1", String.valueOf(ports[3]));
        if (machine.front != null) {
            values.put("listen.front", machine.front);
            values.put("listen.ready", machine.ip + ":" + ports[1]);
        } else {
            Path data = folder.resolve(machine.name + ".data");
            Files.createDirectories(data);
            values.put("data_dir", data.toString());
        }
        return values;
    }

    private static String rendered(String template, Map<String, String> values) {
        String text = template;
        Matcher section = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}").matcher(text);
        StringBuilder sections = new StringBuilder();
        while (section.find()) {
            String kept = values.containsKey(section.group(1)) ? section.group(2) : "";
            section.appendReplacement(sections, Matcher.quoteReplacement(kept));
        }
        section.appendTail(sections);
        Matcher value = Pattern.compile("\\{\\{([\\w.]+)}}").matcher(sections.toString());
        StringBuilder result = new StringBuilder();
        while (value.find()) {
            value.appendReplacement(result, Matcher.quoteReplacement(values.getOrDefault(value.group(1), "")));
        }
        value.appendTail(result);
        return result.toString();
    }

    private static String first(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("deploy file: no " + pattern);
        }
        return matcher.group(1);
    }

    /** Waits until all entries answer their readiness check with 200; returns whether they do within [seconds]. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < until) {
            boolean isReady = true;
            for (Machine machine : machines) {
                if (machine.front != null) {
                    isReady &= Http.call(machine.ip + ":" + ports[1], "GET", "/ready", Map.of("Host", "a"), new byte[0], 500).is(200);
                }
            }
            if (isReady) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the lines of the log of [machine] that contain [text]. */
    List<String> logged(Machine machine, String text) throws IOException {
        Path log = folder.resolve(machine.name + ".log");
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Also called when this process is told to stop, so that none of those it started is left. */
    private void killAll() {
        machines.stream().filter(machine -> machine.process != null).forEach(machine -> machine.process.destroyForcibly());
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Machine machine : machines) {
            machine.process.waitFor(5, TimeUnit.SECONDS);
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    /** A configuration of one host with the given routes and one tenant. */
    static Map<String, Object> configuration(List<Map<String, Object>> routes, List<String> services) {
        List<Object> serviceList = new ArrayList<>();
        for (String service : services) {
            serviceList.add(Map.of("name", service, "health_path", "/health", "max_conns", 210, "protocol", "h1", "tls", false));
        }
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", 7);
        configuration.put("routes", routes);
        configuration.put("services", serviceList);
        configuration.put("limits", Map.of("max_header_bytes", 16384, "max_body_bytes", 4194304,
            "header_timeout_ms", 3000, "idle_timeout_ms", 15000));
        configuration.put("tenants", List.of(Map.of("name", "tenant-a", "api_keys", List.of("key-a"), "priority", 1,
            "rate_per_s", 0, "burst", 0)));
        return configuration;
    }

    static Map<String, Object> route(String name, String kind, String service, Object... more) {
        Map<String, Object> route = new HashMap<>();
        route.put("name", name);
        route.put("host", "a.example");
        route.put("path_prefix", "/" + name + "/");
        route.put("kind", kind);
        route.put("service", service);
        route.put("priority", 0);
        route.put("public", false);
        route.put("sticky", false);
        route.put("resumable", false);
        for (int index = 0; index < more.length; index += 2) {
            route.put((String) more[index], more[index + 1]);
        }
        return route;
    }
}
