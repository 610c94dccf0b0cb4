package io.cuminvalve.config.check;

/**
 * One fault of a file.
 *
 * @param path the file's name and the JSON pointer of the faulty value, such as {@code
 *     rules.json#/rules/3/timeoutMs}; not null
 * @param code the kind of fault; not null
 * @param message what is wrong; not null
 * @param hint what to do about it; not null
 * @since 0.1
 */
public record Finding(String path, FindingCode code, String message, String hint) {}
