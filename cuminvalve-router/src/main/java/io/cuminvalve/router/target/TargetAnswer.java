package io.cuminvalve.router.target;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * The head of a target's answer and the source of its body.
 *
 * @param status the HTTP status
 * @param headers the header fields; not null
 * @param body reads the body; a failure chunk means that the answer was cut; not null
 * @since 0.1
 */
public record TargetAnswer(int status, HttpFields headers, Content.Source body) {}
