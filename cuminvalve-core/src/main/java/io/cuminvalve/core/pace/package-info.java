/** The pace at which targets that have started or recovered get their share of the requests. */
package io.cuminvalve.core.pace;
