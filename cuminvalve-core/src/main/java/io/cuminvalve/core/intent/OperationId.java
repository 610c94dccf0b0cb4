package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.table.KeyHasher;

/**
 * Identifies an operation that must not be executed twice. Equal keys of different tenants identify
 * different operations.
 *
 * @param tenant the tenant on whose behalf the operation runs; not null
 * @param key the caller's idempotency key; not null
 * @since 0.1
 */
public record OperationId(TenantId tenant, IdempotencyKey key) {

  private static final long TENANT_FACTOR = 0x9e3779b97f4a7c15L;

  /**
   * Returns a hash that is equal in all processes.
   *
   * @return the 64-bit hash
   */
  public long hash() {
    return KeyHasher.hash(tenant.value()) * TENANT_FACTOR + KeyHasher.hash(key.value());
  }
}
