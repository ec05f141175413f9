package org.hemlockgw.core.dispatch;

import java.util.Optional;

/**
 * Selects the engine for a model turn. Engines that are leaving are never selected.
 */
@FunctionalInterface
public interface EngineChooser {

	/**
	 * Selects an engine.
	 * @param query description of the turn
	 * @return the selection, or empty if no engine serves the model
	 */
	Optional<EngineChoice> choose(EngineQuery query);

}
