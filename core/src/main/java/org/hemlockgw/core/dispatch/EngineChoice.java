package org.hemlockgw.core.dispatch;

/**
 * A chosen engine.
 *
 * @param engine name of the backend server
 * @param estimatedCachedTokens prompt tokens that its cache probably holds
 * @param reason why, in one sentence
 */
public record EngineChoice(String engine, long estimatedCachedTokens, String reason) {
}
