package org.hemlockgw.core.dispatch;

import java.util.Optional;

/**
 * Chooses the engine of a model turn. Never chooses an engine that is leaving.
 */
@FunctionalInterface
public interface EngineChooser {

	/**
	 * Chooses an engine.
	 * @param query what is known of the turn
	 * @return the choice, or empty when no engine serves the model
	 */
	Optional<EngineChoice> choose(EngineQuery query);

}
