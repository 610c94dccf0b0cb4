package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.Incarnation;

/**
 * The value of the term key.
 *
 * @param term the term; at least 1
 * @param holder the controller that took it; not null
 * @param incarnation the run of that controller, so that a restarted one does not mistake its
 *     predecessor's term for its own; not null
 * @param peerAddress its peer address; not null
 * @since 0.1
 */
public record TermRecord(
    long term, ControllerId holder, Incarnation incarnation, String peerAddress) {}
