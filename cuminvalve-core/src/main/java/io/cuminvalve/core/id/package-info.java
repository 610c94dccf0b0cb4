/** Value types for identifiers. */
package io.cuminvalve.core.id;
