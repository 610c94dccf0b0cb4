package io.cuminvalve.load.report;

import io.cuminvalve.core.rule.RequestClass;
import java.util.List;
import java.util.Map;

/**
 * The results of one run of load.
 *
 * @param profile the profile; not null
 * @param attempts how many attempts ended
 * @param served how many callers got what they asked for
 * @param unsent operations left out because too many were open
 * @param kinds per kind; not null
 * @param classes latency of served operations per class; not null
 * @param errors attempts by error code; not null
 * @param meanUnavailableMs how long a group of keys was not served, on average
 * @param worstUnavailableMs how long the worst group of keys was not served
 * @since 0.1
 */
public record LoadSummary(
    String profile,
    long attempts,
    long served,
    long unsent,
    List<KindSummary> kinds,
    Map<RequestClass, LatencySummary> classes,
    Map<String, Long> errors,
    double meanUnavailableMs,
    double worstUnavailableMs) {}
