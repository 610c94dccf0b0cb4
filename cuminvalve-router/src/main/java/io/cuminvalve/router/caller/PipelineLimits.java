package io.cuminvalve.router.caller;

import java.util.function.Consumer;

/**
 * What the connections of one port have in common as to requests that are read ahead.
 *
 * @param maxRequests how many requests of a connection are handled behind its front; 0 for none
 * @param counts counts them; not null
 * @param handler handles the request of an end point, on the thread that calls it; not null
 */
record PipelineLimits(
    int maxRequests, ReadAheadCounts counts, Consumer<ReadAheadEndPoint> handler) {}
