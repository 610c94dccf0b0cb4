package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MicroKernelTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final long SHORT_TIMEOUT_MS = 20;
  private static final ServiceName<Recorder> A = new ServiceName<>("a", Recorder.class);
  private static final ServiceName<Recorder> B = new ServiceName<>("b", Recorder.class);
  private static final ServiceName<Recorder> C = new ServiceName<>("c", Recorder.class);

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final MicroKernel kernel = new MicroKernel(TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS);

  @Test
  void servicesStartAfterAndStopBeforeTheirDependencies() {
    kernel.register(A, new Recorder("a"), B);
    kernel.register(B, new Recorder("b"), C);
    kernel.register(C, new Recorder("c"));
    kernel.start();
    kernel.drain();
    kernel.stop();
    kernel.stop();
    assertThat(events)
        .containsExactly(
            "start c", "start b", "start a", "drain a", "drain b", "drain c", "stop a", "stop b",
            "stop c")
        .inOrder();
  }

  @Test
  void circularAndMissingDependenciesAreReported() {
    kernel.register(A, new Recorder("a"), B);
    CodedException missing = assertThrows(CodedException.class, kernel::start);
    assertThat(missing).hasMessageThat().contains("missing service: b");
    kernel.register(B, new Recorder("b"), A);
    CodedException circular = assertThrows(CodedException.class, kernel::start);
    assertThat(circular).hasMessageThat().contains("circular");
    assertThat(events).isEmpty();
  }

  @Test
  void failedStartStopsRunningServices() {
    kernel.register(A, new Recorder("a"));
    kernel.register(
        B,
        new Recorder("b") {
          @Override
          public void start() {
            throw new CodedException(ErrorCode.UNAVAILABLE, "port taken");
          }
        },
        A);
    CodedException failure = assertThrows(CodedException.class, kernel::start);
    assertThat(failure.code()).isEqualTo(ErrorCode.UNAVAILABLE);
    assertThat(events).containsExactly("start a", "stop a").inOrder();
  }

  @Test
  void hangingStartTimesOut() {
    MicroKernel kernelWithShortTimeout = new MicroKernel(SHORT_TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS);
    CountDownLatch never = new CountDownLatch(1);
    kernelWithShortTimeout.register(A, new Hanging(never));
    CodedException failure = assertThrows(CodedException.class, kernelWithShortTimeout::start);
    assertThat(failure.code()).isEqualTo(ErrorCode.TIMEOUT);
  }

  @Test
  void hangingStopDoesNotPreventOthersFromStopping() {
    MicroKernel kernelWithShortTimeout = new MicroKernel(TIMEOUT_MS, TIMEOUT_MS, SHORT_TIMEOUT_MS);
    kernelWithShortTimeout.register(A, new Recorder("a"));
    CountDownLatch never = new CountDownLatch(1);
    kernelWithShortTimeout.register(
        B,
        new Recorder("b") {
          @Override
          public void stop() {
            await(never);
          }
        },
        A);
    kernelWithShortTimeout.start();
    kernelWithShortTimeout.stop();
    assertThat(events).containsExactly("start a", "start b", "stop a").inOrder();
  }

  @Test
  void servicesAreLookedUpByNameAndType() {
    Recorder service = new Recorder("a");
    kernel.register(A, service);
    assertThat(kernel.registry().get(A)).isSameInstanceAs(service);
    assertThrows(CodedException.class, () -> kernel.registry().get(B));
    ServiceName<String> wrongType = new ServiceName<>("a", String.class);
    assertThrows(CodedException.class, () -> kernel.registry().get(wrongType));
    assertThrows(CodedException.class, () -> kernel.register(A, service));
    assertThat(kernel.registry().names()).containsExactly("a");
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException interrupt) {
      Thread.currentThread().interrupt();
    }
  }

  /** Records the lifecycle calls. */
  private class Recorder implements ManagedService {

    private final String name;

    Recorder(String name) {
      this.name = name;
    }

    @Override
    public void start() {
      events.add("start " + name);
    }

    @Override
    public void drain() {
      events.add("drain " + name);
    }

    @Override
    public void stop() {
      events.add("stop " + name);
    }
  }

  /** Blocks in {@link #start()}. */
  private final class Hanging extends Recorder {

    private final CountDownLatch never;

    Hanging(CountDownLatch never) {
      super("hanging");
      this.never = never;
    }

    @Override
    public void start() {
      await(never);
    }
  }
}
