/** Routes of a configuration: which requests go to which services, and how. */
package io.cuminvalve.core.route;
