package io.cuminvalve.cli.story;

/**
 * What a gateway knew when it decided on a request, and how far others were by then.
 *
 * <p>What is newer elsewhere is taken from the lines of all gateways: it was known there at the
 * latest when the first such line was written.
 *
 * @param process the gateway; not null
 * @param time when; not null
 * @param event what it decided; not null
 * @param config the version of its configuration; not null
 * @param newestConfig the newest version that any gateway had named by then; not null
 * @param configBehindMs for how long a newer one than its own had been named; 0 if there was none
 * @param owners the version of the owners that it knew, as term and number; not null
 * @param newestOwners the newest version that any gateway had named by then; not null
 * @param ownersBehindMs for how long a newer one than its own had been named; 0 if there was none
 * @param targetsAgeMs how long before its list of the targets was last confirmed
 * @since 0.2
 */
public record Knowledge(
    String process,
    String time,
    String event,
    String config,
    String newestConfig,
    long configBehindMs,
    String owners,
    String newestOwners,
    long ownersBehindMs,
    long targetsAgeMs) {}
