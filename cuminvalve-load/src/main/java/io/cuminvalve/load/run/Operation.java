package io.cuminvalve.load.run;

import io.cuminvalve.load.profile.OperationKind;

/**
 * One operation of a caller.
 *
 * @param id unique in the run; not null
 * @param kind what is asked; not null
 * @param key the key; not null
 * @param intendedNs when it was meant to be sent, by {@link System#nanoTime()}
 * @since 0.1
 */
public record Operation(String id, OperationKind kind, String key, long intendedNs) {}
