/** Routes of the configuration, which map requests to services and define their handling. */
package io.cuminvalve.core.route;
