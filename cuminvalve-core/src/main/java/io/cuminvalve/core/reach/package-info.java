/** Which targets this gateway can reach, and which gateway may hold the term given that. */
package io.cuminvalve.core.reach;
