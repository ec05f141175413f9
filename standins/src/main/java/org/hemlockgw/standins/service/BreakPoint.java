package org.hemlockgw.standins.service;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * When the plain service breaks the connection of a call.
 */
public enum BreakPoint {

	/** Never. */
	@JsonProperty("none")
	NONE,

	/** Ahead of the execution, which does not take place. */
	@JsonProperty("before")
	BEFORE,

	/** While the execution is in progress; it takes effect afterwards. */
	@JsonProperty("during")
	DURING,

	/** After the execution took effect, instead of the answer. */
	@JsonProperty("after")
	AFTER

}
