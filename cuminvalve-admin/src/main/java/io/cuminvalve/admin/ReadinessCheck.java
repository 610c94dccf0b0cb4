package io.cuminvalve.admin;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * One condition that must hold before a process counts as ready.
 *
 * @param name the name in the answer of {@code /readyz}; not null
 * @param problem tells why the condition does not hold; empty if it does; must not block
 * @since 0.1
 */
public record ReadinessCheck(String name, Supplier<Optional<String>> problem) {}
