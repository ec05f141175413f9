package org.hemlockgw.core.dispatch;

import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ProgramId;

/**
 * Description of a model turn for which an engine is to be selected.
 *
 * @param program identifier of the program
 * @param model model name
 * @param promptTokens estimated length of the prompt
 * @param lastEngine engine of the program's previous turn, which may have its context
 * cached
 * @param lastPromptTokens number of tokens that the previous engine may have cached
 * @param excluded engines that must not be selected because they failed this request
 */
public record EngineQuery(ProgramId program, String model, long promptTokens, @Nullable String lastEngine,
		long lastPromptTokens, Set<String> excluded) {
}
