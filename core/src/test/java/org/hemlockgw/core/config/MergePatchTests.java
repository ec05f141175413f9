package org.hemlockgw.core.config;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class MergePatchTests {

	// Guards against deviations from RFC 7396: the examples are those of its appendix A.
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '~', textBlock = """
			{"a":"b"} | {"a":"c"} | {"a":"c"}
			{"a":"b"} | {"b":"c"} | {"a":"b","b":"c"}
			{"a":"b"} | {"a":null} | {}
			{"a":"b","b":"c"} | {"a":null} | {"b":"c"}
			{"a":["b"]} | {"a":"c"} | {"a":"c"}
			{"a":"c"} | {"a":["b"]} | {"a":["b"]}
			{"a":{"b":"c"}} | {"a":{"b":"d","c":null}} | {"a":{"b":"d"}}
			{"a":[{"b":"c"}]} | {"a":[1]} | {"a":[1]}
			["a","b"] | ["c","d"] | ["c","d"]
			{"a":"b"} | ["c"] | ["c"]
			{"a":"foo"} | null | null
			{"a":"foo"} | "bar" | "bar"
			{"e":null} | {"a":1} | {"e":null,"a":1}
			[1,2] | {"a":"b","c":null} | {"a":"b"}
			{} | {"a":{"bb":{"ccc":null}}} | {"a":{"bb":{}}}
			""")
	void appliesExamplesOfRfc7396(String target, String patch, String expected) throws IOException {
		ObjectMapper mapper = new ObjectMapper();
		assertThat(MergePatch.apply(mapper.readTree(target), mapper.readTree(patch)))
			.isEqualTo(mapper.readTree(expected));
	}

}
