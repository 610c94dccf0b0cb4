package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A pending claim of an operation by a request of this router.
 *
 * @since 0.1
 */
final class Claim {

  final OperationId operation;
  final RequestId request;
  final long deadlineMs;
  final long startedAtMs;

  /** Digest of the registered routers from which the replicas were chosen. */
  long routersDigest;

  List<RouterId> replicas = List.of();
  final Set<RouterId> granted = new HashSet<>();
  final Map<RouterId, Long> requestedAtMs = new HashMap<>();
  boolean ended;

  Claim(OperationId operation, RequestId request, long deadlineMs, long startedAtMs) {
    this.operation = operation;
    this.request = request;
    this.deadlineMs = deadlineMs;
    this.startedAtMs = startedAtMs;
  }
}
