package org.hemlockgw.standins.http;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.standins.vmlist.VmListSwitches;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class SwitchesTests {

	private final Switches<VmListSwitches> switches = new Switches<>(VmListSwitches.class,
			new VmListSwitches(5, false));

	@Test
	void fieldsThatAreNotNamedKeepTheirValues() {
		this.switches.set("{\"outage\":true}");
		assertThat(this.switches.get()).isEqualTo(new VmListSwitches(5, true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"lagg_ms\":1}", "{\"lag_ms\":\"x\"}", "{\"lag_ms\":null}", "[]", "{", "" })
	void invalidSwitchesAreRejectedAndChangeNothing(String json) {
		int status = 0;
		try {
			this.switches.set(json);
		}
		catch (HttpRejection ex) {
			status = ex.status();
		}
		assertWithMessage(json).that(status).isEqualTo(400);
		assertThat(this.switches.get()).isEqualTo(new VmListSwitches(5, false));
	}

}
