/** What a caller may conclude about a request that its target did not answer. */
package io.cuminvalve.core.verdict;
