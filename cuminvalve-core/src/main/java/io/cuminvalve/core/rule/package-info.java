/** Rules that operators publish with the inventory: how requests are matched and handled. */
package io.cuminvalve.core.rule;
