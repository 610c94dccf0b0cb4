package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.buffer.BufferBudget.Grant;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;

/** Reads bodies into the memory of one budget. Thread-safe. */
final class BodyBuffers {

  private final BufferBudget budget;

  BodyBuffers(BufferBudget budget) {
    this.budget = budget;
  }

  /**
   * Reads the body of a response.
   *
   * @param source the body; not null
   * @param declaredBytes its declared length; negative if there is none
   * @return fails with a {@link BodyRefusedException} if the body gets no memory; never null
   */
  CompletableFuture<BufferedBody> readResponse(Content.Source source, long declaredBytes) {
    Grant grant = checkResponse(declaredBytes);
    if (grant != Grant.GRANTED) {
      return CompletableFuture.failedFuture(new BodyRefusedException(grant));
    }
    return new BodyReading(source, Long.MAX_VALUE, this::takeForResponse, this::release).start();
  }

  /**
   * Reads the body of a request.
   *
   * @param source the body; not null
   * @param declaredBytes its declared length; negative if there is none
   * @param maxBytes the maximum length; bytes
   * @return fails with a {@link BodyRefusedException} if the body gets no memory; never null
   */
  CompletableFuture<BufferedBody> readRequest(
      Content.Source source, long declaredBytes, long maxBytes) {
    Grant grant = checkRequest(declaredBytes);
    if (grant != Grant.GRANTED) {
      return CompletableFuture.failedFuture(new BodyRefusedException(grant));
    }
    return new BodyReading(source, maxBytes, this::takeForRequest, this::release).start();
  }

  private synchronized Grant checkResponse(long declaredBytes) {
    return budget.checkResponse(Math.max(0, declaredBytes));
  }

  private synchronized Grant checkRequest(long declaredBytes) {
    return budget.checkRequest(Math.max(0, declaredBytes));
  }

  private synchronized Grant takeForResponse(long heldBytes, long moreBytes) {
    return budget.takeForResponse(heldBytes, moreBytes);
  }

  private synchronized Grant takeForRequest(long heldBytes, long moreBytes) {
    return budget.takeForRequest(heldBytes, moreBytes);
  }

  private synchronized void release(long bytes) {
    budget.release(bytes);
  }

  /** Returns how much memory bodies take; bytes. */
  synchronized long usedBytes() {
    return budget.usedBytes();
  }
}
