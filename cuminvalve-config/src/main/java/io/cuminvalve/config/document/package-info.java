/** The published configuration as a JSON document: model, codec and difference. */
package io.cuminvalve.config.document;
