/** Typed settings of each program, read from JSON files. */
package io.cuminvalve.config.settings;
