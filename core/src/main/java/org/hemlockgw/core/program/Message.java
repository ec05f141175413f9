package org.hemlockgw.core.program;

/**
 * One message of a program's history.
 *
 * @param role {@code system}, {@code user}, {@code assistant} or {@code tool}
 * @param content the text
 */
public record Message(String role, String content) {
}
