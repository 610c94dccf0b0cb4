/** What a gateway knows of the fleet, and its duties while it holds the term. */
package io.cuminvalve.gateway.control;
