/** What callers ask for: kinds of operations, their shares, and which keys are hot. */
package io.cuminvalve.load.profile;
