/** What operators learn from the running processes through their admin ports. */
package io.cuminvalve.cli.fleet;
