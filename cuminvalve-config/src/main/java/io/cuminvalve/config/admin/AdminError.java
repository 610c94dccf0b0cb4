package io.cuminvalve.config.admin;

import io.cuminvalve.kernel.ErrorCode;

/**
 * The body of an admin answer whose status is not 200.
 *
 * @param code what went wrong; not null
 * @param message details for an operator; not null, without secrets
 * @since 0.1
 */
public record AdminError(ErrorCode code, String message) {}
