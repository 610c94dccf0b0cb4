package io.cuminvalve.kernel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/**
 * Manages the services of one process and their lifecycle.
 *
 * <p>Services start after their dependencies, and are drained and stopped in reverse order. Each
 * call to a service has a timeout: a call that hangs is interrupted and abandoned, so that stopping
 * always ends. Not thread-safe.
 *
 * @since 0.1
 */
public final class MicroKernel {

  private final ServiceRegistry registry = new ServiceRegistry();
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<Entry> started = new ArrayList<>();
  private final long startTimeoutMs;
  private final long drainTimeoutMs;
  private final long stopTimeoutMs;

  /**
   * Creates a kernel without services.
   *
   * @param startTimeoutMs how long one service may take to start; milliseconds
   * @param drainTimeoutMs how long one service may take to drain; milliseconds
   * @param stopTimeoutMs how long one service may take to stop; milliseconds
   */
  public MicroKernel(long startTimeoutMs, long drainTimeoutMs, long stopTimeoutMs) {
    this.startTimeoutMs = startTimeoutMs;
    this.drainTimeoutMs = drainTimeoutMs;
    this.stopTimeoutMs = stopTimeoutMs;
  }

  /**
   * Returns the registry in which services look each other up.
   *
   * @return never null
   */
  public ServiceRegistry registry() {
    return registry;
  }

  /**
   * Adds a service. It takes part in the lifecycle if it is a {@link ManagedService}.
   *
   * @param name its name; not null
   * @param service the service; not null
   * @param dependencies the services that must run while this one runs; not null
   * @param <T> the type that callers see
   * @throws CodedException with code INTERNAL if the name is already registered
   */
  public <T> void register(ServiceName<T> name, T service, ServiceName<?>... dependencies) {
    registry.register(name, service);
    List<String> names = new ArrayList<>();
    for (ServiceName<?> dependency : dependencies) {
      names.add(dependency.value());
    }
    entries.put(name.value(), new Entry(name.value(), service, names));
  }

  /**
   * Starts all services, each after its dependencies.
   *
   * <p>If one fails to start, those already running are stopped in reverse order.
   *
   * @throws CodedException with code INTERNAL if a dependency is missing or circular; with code
   *     TIMEOUT if a service does not start in time; otherwise the failure of the service
   */
  public void start() {
    for (Entry entry : startOrder()) {
      try {
        runBounded(entry, "start", startTimeoutMs, ManagedService::start);
      } catch (CodedException failure) {
        stop();
        throw failure;
      }
      started.add(entry);
    }
  }

  /** Drains all running services, dependents first. Failures are logged. */
  public void drain() {
    for (Entry entry : reversed(started)) {
      runLogged(entry, "drain", drainTimeoutMs, ManagedService::drain);
    }
  }

  /** Stops all running services, dependents first. Failures are logged. Idempotent. */
  public void stop() {
    List<Entry> running = reversed(started);
    started.clear();
    for (Entry entry : running) {
      runLogged(entry, "stop", stopTimeoutMs, ManagedService::stop);
    }
  }

  private List<Entry> startOrder() {
    Set<Entry> ordered = new LinkedHashSet<>();
    for (Entry entry : entries.values()) {
      appendAfterDependencies(entry, ordered, new LinkedHashSet<>());
    }
    return List.copyOf(ordered);
  }

  private void appendAfterDependencies(Entry entry, Set<Entry> ordered, Set<Entry> path) {
    if (ordered.contains(entry)) {
      return;
    }
    if (!path.add(entry)) {
      throw new CodedException(ErrorCode.INTERNAL, "circular service dependency: " + entry.name());
    }
    for (String dependency : entry.dependencies()) {
      Entry next = entries.get(dependency);
      if (next == null) {
        throw new CodedException(
            ErrorCode.INTERNAL, entry.name() + " depends on a missing service: " + dependency);
      }
      appendAfterDependencies(next, ordered, path);
    }
    path.remove(entry);
    ordered.add(entry);
  }

  private static void runLogged(Entry entry, String phase, long timeoutMs, Phase action) {
    try {
      runBounded(entry, phase, timeoutMs, action);
    } catch (CodedException failure) {
      Logger.warn(failure, "Service {} failed to {}", entry.name(), phase);
    }
  }

  private static void runBounded(Entry entry, String phase, long timeoutMs, Phase action) {
    if (!(entry.service() instanceof ManagedService managed)) {
      return;
    }
    FutureTask<Void> task = new FutureTask<>(() -> action.run(managed), null);
    Thread thread = new Thread(task, phase + "-" + entry.name());
    thread.setDaemon(true);
    thread.start();
    try {
      task.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException timeout) {
      task.cancel(true);
      throw new CodedException(
          ErrorCode.TIMEOUT, entry.name() + " did not " + phase + " in " + timeoutMs + " ms");
    } catch (InterruptedException interrupt) {
      task.cancel(true);
      Thread.currentThread().interrupt();
      throw new CodedException(
          ErrorCode.TIMEOUT, "interrupted during " + phase + " of " + entry.name());
    } catch (ExecutionException failure) {
      throw asCoded(entry, phase, failure.getCause());
    }
  }

  private static CodedException asCoded(Entry entry, String phase, Throwable cause) {
    if (cause instanceof CodedException coded) {
      return new CodedException(coded.code(), coded.getMessage(), coded);
    }
    return new CodedException(
        ErrorCode.INTERNAL, entry.name() + " failed to " + phase + ": " + cause, cause);
  }

  private static List<Entry> reversed(List<Entry> list) {
    List<Entry> copy = new ArrayList<>(list);
    Collections.reverse(copy);
    return copy;
  }

  /** A registered service with the names of its dependencies. */
  private record Entry(String name, Object service, List<String> dependencies) {}

  /** A lifecycle call to a service. */
  @FunctionalInterface
  private interface Phase {
    void run(ManagedService service);
  }
}
