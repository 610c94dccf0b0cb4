/** Publishing a configuration by compare-and-swap, and waiting until it is in force. */
package io.cuminvalve.cli.publish;
