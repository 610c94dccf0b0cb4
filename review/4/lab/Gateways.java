import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's program as processes of their own, started with the command of the deploy file and
 * with settings made from its template. Each has an address of its own in 127.0.0.0/8.
 */
final class Gateways implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern PLACE = Pattern.compile("\\{\\{([a-z_.0-9]+)\\|json\\}\\}");
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z_.0-9]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);

  private static final int METRICS_PORT = 9_464;

  private final Record record;
  private final Path folder;
  private final int storePort;
  private final int count;
  private final int network;
  private final int[] ports;
  private final Process[] processes;

  Gateways(Record record, int storePort, int count) throws IOException {
    this.record = record;
    this.storePort = storePort;
    this.count = count;
    this.folder = Files.createTempDirectory("gateways");
    this.processes = new Process[count];
    this.network = freeNetwork();
    this.ports = freePorts(4);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Finds a part of 127.0.0.0/8 in which the port for metrics, which the template sets, is free. */
  private int freeNetwork() throws IOException {
    for (int network = 1 + (int) (ProcessHandle.current().pid() % 200); network < 255; network++) {
      boolean free = true;
      for (int i = 0; i < count; i++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress("127.0." + network + "." + (i + 1), METRICS_PORT));
        } catch (IOException taken) {
          free = false;
        }
      }
      if (free) {
        return network;
      }
    }
    throw new IOException("port " + METRICS_PORT + " is taken everywhere");
  }

  /** Finds ports that are free at all addresses; the last two follow each other. */
  private int[] freePorts(int wanted) throws IOException {
    List<Integer> found = new ArrayList<>();
    while (found.size() < wanted) {
      int port;
      try (ServerSocket any = new ServerSocket(0)) {
        port = any.getLocalPort();
      }
      if (port < 60_000 && port != METRICS_PORT && !found.contains(port)) {
        found.add(port);
      }
    }
    return found.stream().mapToInt(Integer::intValue).toArray();
  }

  String host(int number) {
    return "127.0." + network + "." + (number + 1);
  }

  int frontPort() {
    return ports[0];
  }

  private String boot(int number, boolean bootstrap) {
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, count); i++) {
      seeds.add('"' + host(i) + ":" + ports[2] + '"');
    }
    String host = host(number);
    return String.format(
        "{\"node\":\"edge-%d\",\"zone\":\"z-1\",\"limits\":{\"cpu_share\":0.6,\"cores\":1},"
            + "\"bootstrap\":%s,\"listen\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\",\"control\":\"%s:%d\"},"
            + "\"seeds\":[%s],\"ip\":\"%s\",\"internal_ports\":[%d,%d],"
            + "\"platform\":{\"address\":\"127.0.0.1:%d\"},"
            + "\"bounds\":{\"hold_max\":\"10000ms\",\"grace\":\"6s\",\"retry_budget_ratio\":0.2,"
            + "\"budget_extra_retries\":56,\"budget_window\":\"10s\"}}",
        number + 1, bootstrap, host, ports[0], host, ports[1], host, ports[2],
        String.join(",", seeds), host, ports[3], ports[3] + 15, storePort);
  }

  /** Fills the template in: values as JSON, and sections whose value is there. */
  private static String fill(String template, JsonNode values) {
    Matcher section = SECTION.matcher(template);
    String whole =
        section.replaceAll(
            found ->
                Matcher.quoteReplacement(
                    at(values, found.group(1)).isMissingNode() ? "" : found.group(2)));
    return PLACE
        .matcher(whole)
        .replaceAll(found -> Matcher.quoteReplacement(at(values, found.group(1)).toString()));
  }

  private static JsonNode at(JsonNode values, String path) {
    JsonNode node = values;
    for (String step : path.split("\\.")) {
      node = node.isArray() ? node.path(Integer.parseInt(step)) : node.path(step);
    }
    return node;
  }

  /** Starts one process. */
  void start(int number, boolean bootstrap) throws IOException {
    Path settings = folder.resolve("boot-" + number + ".json");
    String template = Files.readString(Path.of("deploy/settings.template.json"));
    Files.writeString(settings, fill(template, JSON.readTree(boot(number, bootstrap))));
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .findFirst()
            .orElseThrow()
            .replaceFirst("run *= *\"", "")
            .replaceFirst("\" *$", "");
    ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" +")));
    builder.environment().put("CUMINVALVE_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + number + ".txt").toFile()));
    processes[number] = builder.start();
    record.write("edge-" + (number + 1) + ": started, process " + processes[number].pid());
  }

  void startAll() throws IOException {
    for (int i = 0; i < count; i++) {
      start(i, true);
    }
  }

  boolean isAlive(int number) {
    return processes[number].isAlive();
  }

  int exitOf(int number) {
    return processes[number].exitValue();
  }

  /** Sends a signal to a process that this started. */
  void signal(int number, String name) throws IOException, InterruptedException {
    record.write("edge-" + (number + 1) + ": gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(processes[number].pid()))
        .start()
        .waitFor();
  }

  /** Kills a process and waits for its end. */
  void kill(int number) throws IOException, InterruptedException {
    signal(number, "KILL");
    processes[number].waitFor(5, TimeUnit.SECONDS);
  }

  /** Asks a process whether it is ready. */
  boolean isReady(int number) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host(number), ports[1]), 300);
      socket.setSoTimeout(500);
      OutputStream out = socket.getOutputStream();
      out.write(("GET /v1/readyz HTTP/1.1\r\nHost: " + host(number) + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      return Http.read(in, true).status() == 200;
    } catch (IOException notYet) {
      return false;
    }
  }

  /** Waits until all processes are ready. Returns whether they are. */
  boolean awaitReady(long limitMs) {
    long endMs = System.currentTimeMillis() + limitMs;
    for (int i = 0; i < count; ) {
      if (isReady(i)) {
        i++;
      } else if (System.currentTimeMillis() > endMs) {
        return false;
      } else {
        Store.sleep(50);
      }
    }
    return true;
  }

  /** Returns the lines of a process's log that contain a text. */
  List<String> log(int number, String text) throws IOException {
    Path file = folder.resolve("log-" + number + ".txt");
    return Files.exists(file)
        ? Files.readAllLines(file).stream().filter(line -> line.contains(text)).toList()
        : List.of();
  }

  /** Returns which process took the term last; -1 if none has. */
  int holder() throws IOException {
    int holder = -1;
    String newest = "";
    for (int i = 0; i < count; i++) {
      for (String line : log(i, "event=term_gained")) {
        if (line.compareTo(newest) > 0) {
          newest = line;
          holder = i;
        }
      }
    }
    return holder;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }
}
