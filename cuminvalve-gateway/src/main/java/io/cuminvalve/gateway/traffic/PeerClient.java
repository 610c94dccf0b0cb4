package io.cuminvalve.gateway.traffic;

import io.cuminvalve.router.target.TargetClient;

/**
 * The client for requests that peers relay, started at its first use: most processes never need it,
 * and its threads are a cost of every start. Thread-safe.
 */
final class PeerClient {

  private final TargetClient client;
  private boolean started;
  private boolean stopped;

  /**
   * Creates a client.
   *
   * @param client the client, not started; not null
   */
  PeerClient(TargetClient client) {
    this.client = client;
  }

  /**
   * Returns the client, and starts it unless it was started or stopped before.
   *
   * @return never null
   */
  synchronized TargetClient get() {
    if (!started && !stopped) {
      started = true;
      client.start();
    }
    return client;
  }

  /** Stops the client if it was started, and prevents a later start. */
  synchronized void stop() {
    stopped = true;
    if (started) {
      client.stop();
    }
  }
}
