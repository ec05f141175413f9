package org.hemlockgw.standins.vmlist;

import org.jspecify.annotations.Nullable;

/**
 * A VM as the list publishes it.
 *
 * @param name unique name; taken from the path in a change
 * @param address IP number and port
 * @param admin IP number and port of the admin listener
 * @param dataCentre name of the data centre
 * @param weight relative size; 1.0 when absent
 * @param kind {@code entry} or {@code backend}
 * @param state {@code live} when absent, or {@code leaving}
 */
public record VmEntry(@Nullable String name, String address, @Nullable String admin, String dataCentre,
		@Nullable Double weight, String kind, @Nullable String state) {

	VmEntry completed(String newName) {
		return new VmEntry(newName, this.address, this.admin, this.dataCentre,
				(this.weight != null) ? this.weight : 1.0, this.kind, (this.state != null) ? this.state : "live");
	}

}
