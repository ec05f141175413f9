package org.hemlockgw.standins.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.IOCallback;
import org.jspecify.annotations.Nullable;

/**
 * One request to a stand-in and its response.
 */
public final class Exchange {

	private final ClassicHttpRequest request;

	private final ClassicHttpResponse response;

	private final String rawPath;

	private final String rawQuery;

	Exchange(ClassicHttpRequest request, ClassicHttpResponse response) {
		this.request = request;
		this.response = response;
		String target = request.getPath();
		int question = target.indexOf('?');
		this.rawPath = (question < 0) ? target : target.substring(0, question);
		this.rawQuery = (question < 0) ? "" : target.substring(question + 1);
	}

	/**
	 * Returns method and path as a key for routing.
	 * @return for example {@code GET /stats}
	 */
	public String route() {
		return this.request.getMethod() + " " + this.rawPath;
	}

	public String method() {
		return this.request.getMethod();
	}

	/**
	 * Returns the decoded segments of the path.
	 * @return the segments, without the leading slash
	 */
	public List<String> segments() {
		List<String> segments = new ArrayList<>();
		for (String segment : this.rawPath.substring(1).split("/", -1)) {
			segments.add(URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8));
		}
		return segments;
	}

	/**
	 * Returns a parameter of the query.
	 * @param name name of the parameter
	 * @param absent value when the parameter is missing
	 * @return the decoded value
	 */
	public String queryText(String name, String absent) {
		for (String pair : this.rawQuery.split("&", -1)) {
			if (pair.startsWith(name + "=")) {
				return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
			}
		}
		return absent;
	}

	/**
	 * Returns a number of the query.
	 * @param name name of the parameter
	 * @param absent value when the parameter is missing
	 * @return the value
	 */
	public long queryNumber(String name, long absent) {
		String value = queryText(name, String.valueOf(absent));
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new HttpRejection(400, name + " must be a whole number, was '" + value + "'");
		}
	}

	public @Nullable String header(String name) {
		Header header = this.request.getFirstHeader(name);
		return (header != null) ? header.getValue() : null;
	}

	/**
	 * Returns the body of the request.
	 * @return the bytes, empty without a body
	 * @throws IOException when the connection breaks
	 */
	public byte[] body() throws IOException {
		HttpEntity entity = this.request.getEntity();
		byte[] bytes = (entity != null) ? EntityUtils.toByteArray(entity) : null;
		return (bytes != null) ? bytes : new byte[0];
	}

	/**
	 * Parses the body of the request.
	 * @param <T> type of the body
	 * @param type type of the body
	 * @return the parsed body
	 * @throws IOException when the connection breaks
	 */
	public <T> T json(Class<T> type) throws IOException {
		byte[] body = body();
		try {
			T value = Json.MAPPER.readValue(body, type);
			if (value == null) {
				throw new HttpRejection(400, "the body must be a JSON object, was null");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw new HttpRejection(400, "the body is not valid: " + ex.getOriginalMessage());
		}
	}

	public void setHeader(String name, String value) {
		this.response.setHeader(name, value);
	}

	public void respond(int status, Object body) throws IOException {
		this.response.setCode(status);
		this.response.setEntity(new ByteArrayEntity(Json.MAPPER.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
	}

	public void respondBytes(int status, byte[] body) {
		this.response.setCode(status);
		this.response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM));
	}

	public void respondError(int status, String message) throws IOException {
		respond(status, Map.of("error", Map.of("message", message)));
	}

	/**
	 * Answers with server-sent events.
	 * @param writer writes the events; an exception from it breaks the connection
	 */
	public void respondEvents(IOCallback<OutputStream> writer) {
		this.response.setCode(200);
		this.response.setEntity(new EntityTemplate(ContentType.TEXT_EVENT_STREAM, writer));
	}

}
