/** What gateways share at a target: its places, and when these are few. */
package io.cuminvalve.core.sharing;
