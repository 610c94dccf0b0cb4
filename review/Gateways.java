package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The gateways of a fleet: each is a process of its own, started with the command of the deploy
 * file and the settings template, on a loopback address of its own.
 */
final class Gateways implements AutoCloseable {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)\\|json}}");
  private static final int[] PORTS = {8144, 8140, 8146, 7660, 9464};

  private final List<String> ips;
  private final List<String> zones;
  private final String storeAddress;
  private final Path folder;
  private final Record record;
  private final Process[] processes;
  private final int[] starts;

  Gateways(List<String> ips, List<String> zones, String storeAddress, Path folder, Record record) {
    this.ips = ips;
    this.zones = zones;
    this.storeAddress = storeAddress;
    this.folder = folder;
    this.record = record;
    this.processes = new Process[ips.size()];
    this.starts = new int[ips.size()];
  }

  /** Returns addresses in 127.0.0.0/8 on which the ports of a gateway are free. */
  static List<String> freeIps(int count) throws IOException {
    List<String> ips = new ArrayList<>();
    int net = 1 + (int) (System.nanoTime() / 1000 % 200);
    for (int host = 1; ips.size() < count && host < 250; host++) {
      String ip = "127." + net + "." + ProcessHandle.current().pid() % 250 + "." + host;
      if (areFree(ip)) {
        ips.add(ip);
      }
    }
    return ips;
  }

  private static boolean areFree(String ip) {
    for (int port : PORTS) {
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
        probe.setReuseAddress(true);
      } catch (IOException taken) {
        return false;
      }
    }
    return true;
  }

  int count() {
    return ips.size();
  }

  String front(int index) {
    return ips.get(index) + ":8144";
  }

  /** Starts one gateway; the first start of a fleet says so in its settings. */
  void start(int index, boolean firstStart) throws IOException {
    Path settings = folder.resolve("settings-" + index + ".json");
    Files.writeString(settings, settings(index, firstStart));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("CUMINVALVE_BOOT", settings.toString());
    Path log = folder.resolve("gateway-" + index + "-" + ++starts[index] + ".log");
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    processes[index] = builder.start();
    record.write("gateway %d: started, process %d", index, processes[index].pid());
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(run.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  private String settings(int index, boolean firstStart) throws IOException {
    ObjectNode values = Store.JSON.createObjectNode();
    values.put("node", "edge-" + zones.get(index) + "-" + index);
    values.put("zone", zones.get(index));
    values.putObject("limits").put("cpu_share", 0.6).put("cores", 1);
    values.put("bootstrap", firstStart);
    values
        .putObject("listen")
        .put("front", front(index))
        .put("ready", ips.get(index) + ":8140")
        .put("control", ips.get(index) + ":8146");
    ips.stream().limit(3).forEach(ip -> values.withArray("/seeds").add(ip + ":8146"));
    values.put("ip", ips.get(index));
    values.putArray("internal_ports").add(7660).add(7675);
    values.putObject("platform").put("address", storeAddress);
    values
        .putObject("bounds")
        .put("hold_max", "10000ms")
        .put("grace", "6s")
        .put("retry_budget_ratio", 0.2)
        .put("budget_extra_retries", 56)
        .put("budget_window", "10s");
    String template = Files.readString(Path.of("deploy/settings.template.json"));
    Matcher matcher = PLACEHOLDER.matcher(template);
    return matcher.replaceAll(
        match -> Matcher.quoteReplacement(valueOf(values, match.group(1)).toString()));
  }

  private static JsonNode valueOf(JsonNode values, String name) {
    JsonNode value = values;
    for (String part : name.split("\\.")) {
      value = value.isArray() ? value.path(Integer.parseInt(part)) : value.path(part);
    }
    return value;
  }

  /** Waits until all gateways answer that they are ready. */
  boolean awaitReady(double seconds) throws InterruptedException {
    long endNs = System.nanoTime() + (long) (seconds * 1e9);
    for (String ip : ips) {
      while (!isReady(ip)) {
        if (System.nanoTime() > endNs) {
          return false;
        }
        Thread.sleep(20);
      }
    }
    return true;
  }

  private static boolean isReady(String ip) {
    try {
      URI uri = URI.create("http://" + ip + ":8140/v1/readyz");
      HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException notYet) {
      return false;
    }
  }

  boolean isAlive(int index) {
    return processes[index] != null && processes[index].isAlive();
  }

  /** Kills one gateway. */
  void kill(int index) throws InterruptedException {
    record.write("gateway %d: SIGKILL", index);
    processes[index].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  /** Kills all gateways at the same moment. */
  void killAll() throws InterruptedException {
    record.write("all gateways: SIGKILL");
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Process process : processes) {
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }

  /** Returns the lines of all logs that contain a word, by log. */
  Map<String, List<String>> logLines(String word) throws IOException {
    Map<String, List<String>> found = new LinkedHashMap<>();
    File[] logs = folder.toFile().listFiles((dir, name) -> name.endsWith(".log"));
    for (File log : logs == null ? new File[0] : logs) {
      List<String> lines = new ArrayList<>(Files.readAllLines(log.toPath()));
      lines.removeIf(line -> !line.contains(word));
      found.put(log.getName(), lines);
    }
    return found;
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(10, TimeUnit.SECONDS);
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
