package io.cuminvalve.cli.story;

/**
 * A time in which one target owned a key, as far as the lines show.
 *
 * @param target the owner; not null
 * @param time from the first line that shows it to the line that ends it; not null
 * @param evidence what shows that it began; not null
 * @since 0.2
 */
public record Ownership(String target, Span time, String evidence) {}
