package io.cuminvalve.ports.host;

/**
 * An entry of the platform's host list.
 *
 * @param id the id of the target on it; not null
 * @param state the state that the platform reports; not null
 * @since 0.1
 */
public record Host(String id, HostState state) {}
