package org.hemlockgw.experiment.capacity;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

class CapacityCommandTests {

	// Guards against a slope that fails or is left out of the output.
	@Test
	void outputNamesEverySlope() {
		StringWriter output = new StringWriter();
		CommandLine command = new CommandLine(new CapacityCommand()).setOut(new PrintWriter(output));

		int status = command.execute("--repetitions", "1", "--warm-up-ms", "0");

		assertThat(status).isEqualTo(0);
		for (String name : CapacityCommand.names()) {
			assertThat(output.toString()).contains("\n" + name + ".");
		}
	}

}
