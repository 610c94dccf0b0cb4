/**
 * Admission control: decides which requests may use the slots of a target, and in which order. One
 * router per target, its gate, keeps the queue, so that the limit holds over all routers.
 */
package io.cuminvalve.core.admission;
