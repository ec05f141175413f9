package org.hemlockgw.core.dispatch;

/**
 * Engine selected for a model turn.
 *
 * @param engine name of the backend server
 * @param estimatedCachedTokens estimated number of prompt tokens cached by the engine
 * @param reason reason for the selection, in one sentence
 */
public record EngineChoice(String engine, long estimatedCachedTokens, String reason) {
}
