/** JSON inventory, rules and settings: schema, semantic checks, typed model. */
package io.cuminvalve.config;
