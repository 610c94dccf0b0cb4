/** The HTTP plumbing that all stand-ins share. */
package io.cuminvalve.testkit.http;
