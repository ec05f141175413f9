/** Configuration of the operator in the form that the pages show. */
final class Configuration {

	static final int MAX_BODY_BYTES = 4_194_304;

	private Configuration() {
	}

	static String create(int version) {
		return """
				{"version":%d,"routes":[
				{"name":"turns","host":"h.example","path_prefix":"/turns/","kind":"streaming","timeout_ms":3000,
				"slo_ms":250,"priority":0,"service":"models","attempts":2,"retain":true,"retain_s":60.0,
				"sticky":true,"resumable":false,"gap_slo_ms":150},
				{"name":"once","host":"h.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":3000,
				"slo_ms":500,"priority":2,"service":"tools","attempts":1},
				{"name":"safe","host":"h.example","path_prefix":"/safe/","kind":"safe","timeout_ms":1200,
				"slo_ms":150,"priority":2,"service":"tools","attempts":2}],
				"services":[{"name":"models","health_path":"/health","max_conns":130,"protocol":"h1","tls":false,
				"engine":{"slots":8,"kv_capacity":162687,"kv_token_bytes":18432,"event_tokens":%d}},
				{"name":"tools","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,
				"idle_timeout_ms":15000}}
				""".formatted(version, Engine.EVENT_TOKENS, MAX_BODY_BYTES);
	}

}
