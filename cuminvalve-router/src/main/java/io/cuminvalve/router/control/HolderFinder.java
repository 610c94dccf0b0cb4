package io.cuminvalve.router.control;

import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Finds the address of a cell's holder: from the term key in the store, or, while the store does
 * not answer, by asking the controllers that the settings name, one after the other.
 *
 * <p>Searches are spaced by growing pauses with a random part, so that routers that all lost the
 * holder do not ask the store at the same moment. Without a search there is no call to the store.
 *
 * <p>Runs on the control thread.
 *
 * @since 0.1
 */
public final class HolderFinder {

  private static final long MIN_PAUSE_MS = 50;
  private static final long MAX_PAUSE_MS = 1_000;

  private final CellId cell;
  private final KeyValueStore store;
  private final TableCodec codec;
  private final List<InetSocketAddress> seeds;
  private final ControlThread controlThread;
  private final RandomGenerator random;
  private final Consumer<String> onAddress;
  private boolean searching;
  private long pauseMs = MIN_PAUSE_MS;
  private int nextSeed;

  /**
   * Creates a finder.
   *
   * @param cell the cell; not null
   * @param store holds the term key; not null
   * @param codec decodes it; not null
   * @param seeds peer addresses of controllers; not null, may be empty
   * @param controlThread runs what follows an answer; not null
   * @param random spreads the searches of several routers; not null
   * @param onAddress takes each address found, right or not, on the control thread; not null
   */
  public HolderFinder(
      CellId cell,
      KeyValueStore store,
      TableCodec codec,
      List<InetSocketAddress> seeds,
      ControlThread controlThread,
      RandomGenerator random,
      Consumer<String> onAddress) {
    this.cell = cell;
    this.store = store;
    this.codec = codec;
    this.seeds = List.copyOf(seeds);
    this.controlThread = controlThread;
    this.random = random;
    this.onAddress = onAddress;
  }

  /** Starts a search, unless one is under way or has just ended. */
  public void search() {
    if (searching) {
      return;
    }
    searching = true;
    store
        .read(StoreKeys.term(cell))
        .whenComplete((result, failure) -> controlThread.execute(() -> onRead(result, failure)));
  }

  /** The holder was heard of: the next search begins without a pause. */
  public void onHolderHeard() {
    pauseMs = MIN_PAUSE_MS;
  }

  private void onRead(ReadResult result, Throwable failure) {
    pause();
    if (failure == null && result.isDone()) {
      result.value().ifPresent(value -> report(value.value()));
    } else {
      askNextSeed();
    }
  }

  private void report(byte[] term) {
    try {
      onAddress.accept(codec.decodeTerm(term).peerAddress());
    } catch (CodedException malformed) {
      Logger.warn(malformed, "The term record of cell {} cannot be read", cell);
    }
  }

  private void askNextSeed() {
    if (!seeds.isEmpty()) {
      InetSocketAddress seed = seeds.get(nextSeed % seeds.size());
      nextSeed++;
      onAddress.accept(IpAddresses.format(seed));
    }
  }

  private void pause() {
    long spreadMs = pauseMs / 2 + random.nextLong(pauseMs / 2 + 1);
    controlThread.schedule(() -> searching = false, spreadMs);
    pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
  }
}
