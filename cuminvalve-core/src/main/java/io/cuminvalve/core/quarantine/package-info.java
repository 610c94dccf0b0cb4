/** Requests under which targets crash: how they are recognised, and when they are refused. */
package io.cuminvalve.core.quarantine;
