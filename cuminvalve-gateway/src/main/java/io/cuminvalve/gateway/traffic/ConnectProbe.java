package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.NamedThreads;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Probes few targets at a time, on threads that exist only while there are probes. */
final class ConnectProbe implements TargetProbe, AutoCloseable {

  /** More targets than this end at once only if a whole data centre fails. */
  private static final int MAX_QUEUED = 64;

  private static final int IDLE_SECONDS = 5;

  private final int timeoutMs;
  private final ThreadPoolExecutor executor;

  ConnectProbe(int timeoutMs, int atOnce) {
    this.timeoutMs = timeoutMs;
    this.executor =
        new ThreadPoolExecutor(
            atOnce,
            atOnce,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED),
            NamedThreads.daemon("probe"));
    executor.allowCoreThreadTimeOut(true);
  }

  @Override
  public void probe(String address, Consumer<Finding> onDone) {
    try {
      executor.execute(() -> onDone.accept(tryConnect(address)));
    } catch (RejectedExecutionException tooMany) {
      // The registry reports the end of the target later.
      onDone.accept(Finding.SILENT);
    }
  }

  private Finding tryConnect(String address) {
    try (Socket socket = new Socket()) {
      socket.connect(SocketAddresses.parse(address), timeoutMs);
      return Finding.LISTENING;
    } catch (ConnectException refused) {
      return Finding.REFUSED;
    } catch (IOException noAnswer) {
      return Finding.SILENT;
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
