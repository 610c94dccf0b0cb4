/** Which requests wait for a place at a target, in which order, and which are refused at once. */
package io.cuminvalve.core.waiting;
