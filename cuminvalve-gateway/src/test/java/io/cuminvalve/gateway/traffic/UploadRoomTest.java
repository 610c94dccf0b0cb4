package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.traffic.StallableGateway.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Uploads share the memory for bodies; one that does not fit is refused before it is read. */
@Timeout(value = 10, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UploadRoomTest {

  private static final int UPLOAD_BYTES = 1 << 20;
  private static final int FITTING_UPLOADS = 3;
  private static final int UNAVAILABLE = 503;
  private static final int SUCCESS = 200;

  /** Guards against uploads that together exhaust the heap. */
  @Test
  void uploadsThatDoNotFitAreRefusedAndTheOthersServed() throws Exception {
    try (RawTarget target = new RawTarget();
        StallableGateway gateway = new StallableGateway(target).configure()) {
      List<Call> uploads = new ArrayList<>();
      String part = "x".repeat(UPLOAD_BYTES - 1);
      for (int i = 0; i < FITTING_UPLOADS; i++) {
        uploads.add(
            gateway
                .connect()
                .sendPart("fits-" + i, StallableGateway.ROUTE_TIMEOUT_MS, UPLOAD_BYTES, part));
      }
      StallableGateway.await(
          () -> gateway.bufferedBytes() >= (long) FITTING_UPLOADS * UPLOAD_BYTES);
      assertThat(
              gateway
                  .connect()
                  .sendPart("refused", StallableGateway.ROUTE_TIMEOUT_MS, UPLOAD_BYTES, "")
                  .status())
          .isEqualTo(UNAVAILABLE);
      assertThat(gateway.connect().send("small", "/files/", 60_000).status()).isEqualTo(SUCCESS);
      for (Call upload : uploads) {
        assertThat(upload.write("x").status()).isEqualTo(SUCCESS);
      }
      StallableGateway.await(() -> gateway.bufferedBytes() == 0);
      assertThat(target.arrivalsOf("refused")).isEqualTo(0);
    }
  }

  /** Guards against parts of uploads that keep their memory when nobody reads them on. */
  @Test
  void uploadsEndedAtTheStopLimitReturnTheirMemory() throws Exception {
    try (RawTarget target = new RawTarget();
        StallableGateway gateway = new StallableGateway(target).configure()) {
      String part = "x".repeat(UPLOAD_BYTES / 2);
      Call upload =
          gateway.connect().sendPart("cut", StallableGateway.ROUTE_TIMEOUT_MS, UPLOAD_BYTES, part);
      StallableGateway.await(() -> gateway.bufferedBytes() >= UPLOAD_BYTES / 2);
      gateway.endRequests();
      assertThat(upload.status()).isEqualTo(UNAVAILABLE);
      StallableGateway.await(() -> gateway.bufferedBytes() == 0);
      assertThat(target.arrivalsOf("cut")).isEqualTo(0);
    }
  }
}
