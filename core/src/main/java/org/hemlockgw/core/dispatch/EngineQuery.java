package org.hemlockgw.core.dispatch;

import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ProgramId;

/**
 * What is known of a model turn when its engine is chosen.
 *
 * @param program the program
 * @param model model name
 * @param promptTokens estimated prompt length
 * @param lastEngine engine of the program's last turn, which may hold its cache
 * @param lastPromptTokens tokens that the last engine may hold
 * @param excluded engines not to choose, since they failed this request
 */
public record EngineQuery(ProgramId program, String model, long promptTokens, @Nullable String lastEngine,
		long lastPromptTokens, Set<String> excluded) {
}
