package io.cuminvalve.controller.cell;

import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.wire.PeerNetwork;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/**
 * Keeps the newest configuration and never goes back to an older one.
 *
 * <p>A controller that leads some cell watches the key in the store, and reads it after each watch
 * that brought nothing new, as a watch may show old data. One that waits asks the holder over the
 * peer link and leaves the store alone, but for the first read. All methods run on the control
 * thread.
 *
 * @since 0.1
 */
public final class ConfigurationFollower {

  static final long WATCH_MS = 5_000;
  static final long RETRY_MS = 250;
  static final long ASK_HOLDER_MS = 1_000;

  private final KeyValueStore store;
  private final PeerNetwork network;
  private final Executor control;
  private final BiConsumer<Configuration, byte[]> installed;
  private Configuration configuration;
  private byte[] json;
  private long refusedRevision;
  private String problem = "not read yet";
  private boolean callInFlight;
  private boolean readNext = true;
  private long nextCallMs = Long.MIN_VALUE;
  private long nextAskMs = Long.MIN_VALUE;

  /**
   * Creates a follower that knows nothing.
   *
   * @param store the platform's store; not null
   * @param network messages to the holder; not null
   * @param control the control thread; not null
   * @param installed called with each newer configuration and its document; not null
   */
  public ConfigurationFollower(
      KeyValueStore store,
      PeerNetwork network,
      Executor control,
      BiConsumer<Configuration, byte[]> installed) {
    this.store = store;
    this.network = network;
    this.control = control;
    this.installed = installed;
  }

  /**
   * Returns the newest configuration.
   *
   * @return empty before the first
   */
  public Optional<Configuration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /**
   * Returns the document of the newest configuration.
   *
   * @return empty before the first
   */
  public Optional<byte[]> json() {
    return Optional.ofNullable(json);
  }

  /**
   * Tells what is wrong with the configuration.
   *
   * @return empty if nothing is
   */
  public Optional<String> problem() {
    return problem.isEmpty() ? Optional.empty() : Optional.of(problem);
  }

  /**
   * Lets time pass for a controller that leads some cell.
   *
   * @param nowMs the current time
   */
  public void tickLeading(long nowMs) {
    if (callInFlight || nowMs < nextCallMs) {
      return;
    }
    callInFlight = true;
    if (readNext) {
      read(nowMs);
    } else {
      watch(nowMs);
    }
  }

  /**
   * Lets time pass for a controller that leads no cell.
   *
   * @param nowMs the current time
   * @param cell some cell whose holder is known; not null
   * @param holderAddress the peer address of that holder; empty if unknown
   */
  public void tickWaiting(long nowMs, CellId cell, String holderAddress) {
    // What the store holds when this controller starts to lead has to be read anew.
    readNext = true;
    if (configuration == null && !callInFlight && nowMs >= nextCallMs) {
      callInFlight = true;
      read(nowMs);
    }
    if (!holderAddress.isEmpty() && nowMs >= nextAskMs) {
      nextAskMs = nowMs + ASK_HOLDER_MS;
      network.send(holderAddress, new ConfigRequest(cell, revision()));
    }
  }

  /**
   * Takes a configuration that a peer sent.
   *
   * @param push the message; not null
   */
  public void onPush(ConfigPush push) {
    install(push.revision(), push.json());
  }

  private void read(long nowMs) {
    store
        .read(ConfigurationCodec.STORE_KEY)
        .thenAccept(result -> control.execute(() -> onRead(result, nowMs)));
  }

  private void onRead(ReadResult result, long startedMs) {
    callInFlight = false;
    readNext = !result.isDone();
    nextCallMs = startedMs + RETRY_MS;
    result.value().ifPresent(value -> install(value.revision(), value.value()));
    if (result.isDone() && result.value().isEmpty() && configuration == null) {
      problem = "none is published";
    }
  }

  private void watch(long nowMs) {
    store
        .watch(ConfigurationCodec.STORE_KEY, revision(), WATCH_MS)
        .thenAccept(result -> control.execute(() -> onWatch(result, nowMs)));
  }

  private void onWatch(WatchResult result, long startedMs) {
    callInFlight = false;
    Optional<StoreValue> value = result.value();
    boolean newer = value.isPresent() && value.get().revision() > revision();
    readNext = !newer;
    if (newer) {
      install(value.get().revision(), value.get().value());
    } else {
      nextCallMs = startedMs + RETRY_MS;
    }
  }

  private void install(long revision, byte[] document) {
    if (revision <= revision()) {
      return;
    }
    try {
      configuration = ConfigurationCodec.decode(revision, document);
      json = document.clone();
      problem = "";
    } catch (CodedException malformed) {
      refuse(revision, malformed.getMessage());
      return;
    }
    Logger.info("Configuration {} by {}", revision, configuration.publishedBy());
    installed.accept(configuration, json);
  }

  private void refuse(long revision, String reason) {
    if (revision > refusedRevision) {
      refusedRevision = revision;
      problem = "revision " + revision + " is refused: " + reason;
      Logger.error("Configuration {}", problem);
    }
  }

  private long revision() {
    long installedRevision = configuration == null ? 0 : configuration.revision();
    return Math.max(installedRevision, refusedRevision);
  }
}
