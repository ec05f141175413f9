package org.hemlockgw.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.hemlockgw.standins.engine.EngineOptions;
import org.hemlockgw.standins.engine.EngineServer;
import org.hemlockgw.standins.http.Json;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;
import org.hemlockgw.standins.service.PlainServer;
import org.hemlockgw.standins.service.ServiceOptions;
import org.hemlockgw.standins.vmlist.VmListOptions;
import org.hemlockgw.standins.vmlist.VmListServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the part of the protocols that only tests and operators use, over HTTP.
 */
class HttpProtocolTests {

	private static final String ANY_PORT = "127.0.0.1:0";

	private final HttpClient http = HttpClient.newHttpClient();

	private final LogServer log = new LogServer(LogOptions.DEFAULT, ANY_PORT);

	private final VmListServer vms = new VmListServer(VmListOptions.DEFAULT, ANY_PORT);

	private final EngineServer engine = new EngineServer(EngineOptions.DEFAULT, ANY_PORT);

	private final PlainServer service = new PlainServer(ServiceOptions.DEFAULT, ANY_PORT);

	@BeforeEach
	void start() {
		this.log.start();
		this.vms.start();
		this.engine.start();
		this.service.start();
	}

	@AfterEach
	void stop() {
		this.log.close();
		this.vms.close();
		this.engine.close();
		this.service.close();
	}

	@Test
	void theLogTakesItsSwitchesAndCountsAppends() throws Exception {
		assertStatus(200, "POST", this.log.address(), "/streams/s/records", "abc");
		assertStatus(200, "POST", this.log.address(), "/switches", "{\"outage\":true}");
		assertStatus(503, "POST", this.log.address(), "/streams/s/records", "abc");
		JsonNode stats = assertStatus(200, "GET", this.log.address(), "/stats", "").path("streams").path("s");
		assertThat(stats.path("appends").asLong()).isEqualTo(1);
		assertThat(stats.path("bytes").asLong()).isEqualTo(3);
	}

	@Test
	void anExpiredOffsetIsGoneAndNamesTheFirstRetainedOne() throws Exception {
		this.log.set("{\"retention_ms\":1}");
		assertStatus(200, "POST", this.log.address(), "/streams/s/records", "abc");
		String path = "/streams/s/records?from=0&max=1&wait_ms=0";
		long deadlineNs = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		while (send("GET", this.log.address(), path, "").statusCode() == 200 && System.nanoTime() < deadlineNs) {
			Thread.onSpinWait();
		}
		assertThat(assertStatus(410, "GET", this.log.address(), path, "").path("first").asLong()).isEqualTo(1);
	}

	@Test
	void vmsArePutAndDeletedOverHttp() throws Exception {
		String vm = "{\"address\":\"10.0.0.1:1\",\"data_centre\":\"sto-a\",\"weight\":2,\"kind\":\"backend\"}";
		assertStatus(200, "PUT", this.vms.address(), "/vms/e1", vm);
		JsonNode listed = assertStatus(200, "GET", this.vms.address(), "/vms", "").path("vms").path(0);
		assertThat(listed.path("name").asText()).isEqualTo("e1");
		assertThat(listed.path("state").asText()).isEqualTo("live");
		assertStatus(400, "PUT", this.vms.address(), "/vms/e1", vm.replace("backend", "router"));
		assertStatus(200, "DELETE", this.vms.address(), "/vms/e1", "");
		assertThat(assertStatus(200, "GET", this.vms.address(), "/vms", "").path("vms")).isEmpty();
		assertStatus(200, "POST", this.vms.address(), "/switches", "{\"outage\":true}");
		assertStatus(503, "GET", this.vms.address(), "/vms", "");
	}

	@Test
	void theEngineTakesItsSwitchesAndShowsItsCounters() throws Exception {
		assertStatus(400, "POST", this.engine.address(), "/switches", "{\"speed_factor\":0}");
		assertStatus(200, "POST", this.engine.address(), "/switches", "{\"refuse\":true,\"speed_factor\":2}");
		assertStatus(503, "POST", this.engine.address(), "/v1/chat/completions",
				"{\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}");
		assertStatus(400, "POST", this.engine.address(), "/v1/chat/completions", "{\"messages\":[]}");
		JsonNode stats = assertStatus(200, "GET", this.engine.address(), "/stats", "");
		assertThat(stats.path("requests_admitted").asInt(-1)).isEqualTo(0);
		assertThat(stats.path("recomputed_tokens").asInt(-1)).isEqualTo(0);
		assertThat(stats.path("held_token_seconds").asDouble(-1)).isEqualTo(0.0);
	}

	@Test
	void theServiceTakesItsSwitchesAndShowsItsExecutions() throws Exception {
		assertStatus(200, "POST", this.service.address(), "/call/x", "{}");
		assertStatus(200, "POST", this.service.address(), "/switches", "{\"refuse\":true}");
		HttpResponse<String> refused = send("POST", this.service.address(), "/call/x", "{}");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.headers().firstValue("X-Admitted")).hasValue("false");
		JsonNode executions = assertStatus(200, "GET", this.service.address(), "/executions", "");
		assertThat(executions.path("executions").path("r1").asInt()).isEqualTo(1);
	}

	private JsonNode assertStatus(int status, String method, String address, String path, String body)
			throws Exception {
		HttpResponse<String> response = send(method, address, path, body);
		assertThat(response.statusCode()).isEqualTo(status);
		return Json.MAPPER.readTree(response.body());
	}

	private HttpResponse<String> send(String method, String address, String path, String body) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.method(method, BodyPublishers.ofString(body))
			.header("X-Request-Id", "r1")
			.timeout(Duration.ofSeconds(20))
			.build();
		return this.http.send(request, BodyHandlers.ofString());
	}

}
