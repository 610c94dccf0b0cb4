/**
 * What the router tells of its requests: metrics, a bounded record of recent requests, and an
 * optional access trace.
 *
 * @since 0.1
 */
package io.cuminvalve.router.observe;
