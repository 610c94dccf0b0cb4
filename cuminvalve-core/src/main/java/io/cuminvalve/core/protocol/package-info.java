/** Messages exchanged between cuminvalve processes. */
package io.cuminvalve.core.protocol;
