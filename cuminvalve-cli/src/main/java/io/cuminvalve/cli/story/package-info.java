/** Tells from the logs of gateways what became of a request or a key, and why. */
package io.cuminvalve.cli.story;
