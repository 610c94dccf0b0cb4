package io.cuminvalve.ports.host;

/**
 * One host of the platform's list.
 *
 * @param id the id of the target on it; not null
 * @param state what the platform says of it; not null
 * @since 0.1
 */
public record Host(String id, HostState state) {}
