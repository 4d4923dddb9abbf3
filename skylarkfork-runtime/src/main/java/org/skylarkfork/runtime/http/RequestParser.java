package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.RequestKind;

/** Turns HTTP requests of callers into {@code CallerRequest}s, or refuses them with a remedy. */
public final class RequestParser {

  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int DEFAULT_MAX_TOKENS = 1024;
  private static final int MOST_TOKENS = 1_000_000;
  private static final int LEAST_URGENT = 9;
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_KEY_LENGTH = 256;
  private static final String BEARER = "Bearer ";
  private static final List<String> DROPPED_HEADERS =
      List.of(
          "authorization",
          "connection",
          "expect",
          "host",
          "content-length",
          "keep-alive",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");
  private static final List<String> REFUSED_METHODS = List.of("CONNECT", "TRACE");

  private final ObjectMapper json;
  private final Duration defaultDeadline;

  /**
   * Makes a parser.
   *
   * @param json reads bodies
   * @param defaultDeadline deadline of a request that names none
   */
  public RequestParser(ObjectMapper json, Duration defaultDeadline) {
    this.json = json;
    this.defaultDeadline = defaultDeadline;
  }

  /**
   * Parses a chat or plain completion.
   *
   * @throws BadRequestException if the key, a header or the body is wrong
   */
  public CallerRequest draft(
      String requestId, RequestKind kind, HttpHeaders headers, byte[] body, Instant now) {
    JsonNode root = object(body);
    String prompt = kind == RequestKind.CHAT ? chatPrompt(root) : plainPrompt(root);
    return new CallerRequest(
        requestId,
        keyHash(headers),
        kind,
        requiredText(root, "model"),
        "",
        "POST",
        "",
        copied(headers),
        prompt,
        new Bytes(body),
        prompt.length() / CHARACTERS_PER_TOKEN + 1,
        maxTokens(root),
        stream(root),
        (int) number(headers, HttpNames.PRIORITY, 0, LEAST_URGENT, DEFAULT_PRIORITY),
        bounded(headers, HttpNames.SESSION),
        headers.get(HttpNames.SESSION_TOKEN),
        bounded(headers, HttpNames.IDEMPOTENCY_KEY),
        deadline(headers, now),
        qualityTarget(headers));
  }

  /**
   * Parses a call to a plain service.
   *
   * @throws BadRequestException if the key or a header is wrong
   */
  public CallerRequest call(
      String requestId,
      String service,
      String method,
      String path,
      HttpHeaders headers,
      byte[] body,
      Instant now) {
    checkTarget(service, method, path);
    return new CallerRequest(
        requestId,
        keyHash(headers),
        RequestKind.SERVICE,
        "",
        service,
        method,
        path,
        copied(headers),
        "",
        new Bytes(body),
        0,
        0,
        false,
        (int) number(headers, HttpNames.PRIORITY, 0, LEAST_URGENT, DEFAULT_PRIORITY),
        bounded(headers, HttpNames.SESSION),
        headers.get(HttpNames.SESSION_TOKEN),
        bounded(headers, HttpNames.IDEMPOTENCY_KEY),
        deadline(headers, now),
        null);
  }

  /**
   * Returns the SHA-256 of the bearer token.
   *
   * @throws BadRequestException if there is none
   */
  public static String keyHash(HttpHeaders headers) {
    String value = headers.get("Authorization");
    if (value == null || !value.startsWith(BEARER) || value.length() == BEARER.length()) {
      throw refused(
          ErrorKind.UNAUTHORIZED, "No key was sent. Send 'Authorization: Bearer <your key>'.");
    }
    return Sha256.hex(value.substring(BEARER.length()).trim());
  }

  private JsonNode object(byte[] body) {
    JsonNode root;
    try {
      root = json.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).readTree(body);
    } catch (JsonProcessingException malformed) {
      throw bad("The body is not JSON: " + malformed.getOriginalMessage() + ". Send one object.");
    } catch (java.io.IOException unreadable) {
      throw bad("The body can't be read as JSON. Send one JSON object in UTF-8.");
    }
    if (root == null || !root.isObject()) {
      throw bad("The body must be one JSON object.");
    }
    return root;
  }

  private static String chatPrompt(JsonNode root) {
    JsonNode messages = root.get("messages");
    if (messages == null || !messages.isArray() || messages.isEmpty()) {
      throw bad("'messages' must be an array of at least one message.");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode role = message.get("role");
      if (role == null || !role.isTextual()) {
        throw bad("Each message needs a 'role' that is a text.");
      }
      prompt.append(role.asText()).append(": ").append(content(message.get("content")));
      prompt.append('\n');
    }
    return prompt.toString();
  }

  private static String content(@Nullable JsonNode content) {
    if (content == null || content.isNull()) {
      return "";
    }
    if (content.isTextual()) {
      return content.asText();
    }
    if (!content.isArray()) {
      throw bad("A message's 'content' must be a text or an array of parts.");
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : content) {
      text.append(part.path("text").asText(""));
    }
    return text.toString();
  }

  private static String plainPrompt(JsonNode root) {
    JsonNode prompt = root.get("prompt");
    if (prompt == null || !prompt.isTextual()) {
      throw bad("'prompt' must be a text; lists of prompts are not taken, send one request each.");
    }
    return prompt.asText();
  }

  private static String requiredText(JsonNode root, String field) {
    JsonNode node = root.get(field);
    if (node == null || node.getNodeType() != JsonNodeType.STRING || node.asText().isEmpty()) {
      throw bad("'" + field + "' must be a text that is not empty.");
    }
    return node.asText();
  }

  private static int maxTokens(JsonNode root) {
    JsonNode node = root.has("max_tokens") ? root.get("max_tokens") : null;
    if (node == null) {
      node = root.get("max_completion_tokens");
    }
    if (node == null || node.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!node.isInt() || node.asInt() < 1 || node.asInt() > MOST_TOKENS) {
      throw bad("'max_tokens' must be a whole number from 1 to " + MOST_TOKENS + ".");
    }
    return node.asInt();
  }

  private static boolean stream(JsonNode root) {
    JsonNode node = root.get("stream");
    if (node == null || node.isNull()) {
      return false;
    }
    if (!node.isBoolean()) {
      throw bad("'stream' must be true or false.");
    }
    return node.asBoolean();
  }

  private static void checkTarget(String service, String method, String path) {
    if (service.isEmpty() || service.equals(".") || service.equals("..")) {
      throw bad("Name a service, such as /services/register/lists.");
    }
    if (REFUSED_METHODS.contains(method)) {
      throw bad("Services can't be called with " + method + ". Use another method.");
    }
    try {
      new URI("http://upstream" + path);
    } catch (URISyntaxException malformed) {
      throw bad("The path holds characters that must be percent-encoded. Encode them.");
    }
  }

  private static List<Header> copied(HttpHeaders headers) {
    Set<String> dropped = new HashSet<>(DROPPED_HEADERS);
    for (String names : headers.getAll("Connection")) {
      for (String name : names.split(",")) {
        dropped.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    List<Header> copy = new ArrayList<>();
    for (Map.Entry<String, String> entry : headers) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!dropped.contains(name)) {
        copy.add(new Header(name, printable(name, entry.getValue().trim())));
      }
    }
    return copy;
  }

  /** Refuses control characters, with which a value could be read as further headers. */
  private static String printable(String name, String value) {
    if (value.chars().anyMatch(one -> one != '\t' && Character.isISOControl(one))) {
      throw bad("'" + name + "' holds control characters. Remove them.");
    }
    return value;
  }

  private static @Nullable String bounded(HttpHeaders headers, String name) {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      return null;
    }
    if (value.length() > MAX_KEY_LENGTH) {
      throw bad("'" + name + "' is longer than " + MAX_KEY_LENGTH + " characters. Shorten it.");
    }
    return value;
  }

  private Instant deadline(HttpHeaders headers, Instant now) {
    long millis =
        number(
            headers,
            HttpNames.DEADLINE_MILLIS,
            1,
            Duration.ofHours(1).toMillis(),
            defaultDeadline.toMillis());
    return now.plusMillis(millis);
  }

  private static @Nullable Double qualityTarget(HttpHeaders headers) {
    String value = headers.get(HttpNames.QUALITY_TARGET);
    if (value == null) {
      return null;
    }
    try {
      double target = Double.parseDouble(value);
      if (target >= 0 && target <= 1) {
        return target;
      }
    } catch (NumberFormatException malformed) {
      // The message below tells what is wanted.
    }
    throw bad("'" + HttpNames.QUALITY_TARGET + "' must be a number from 0 to 1.");
  }

  private static long number(
      HttpHeaders headers, String name, long least, long most, long byDefault) {
    String value = headers.get(name);
    if (value == null) {
      return byDefault;
    }
    try {
      long number = Long.parseLong(value);
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException malformed) {
      // The message below tells what is wanted.
    }
    throw bad("'" + name + "' must be a whole number from " + least + " to " + most + ".");
  }

  private static BadRequestException bad(String message) {
    return refused(ErrorKind.BAD_REQUEST, message);
  }

  private static BadRequestException refused(ErrorKind kind, String message) {
    return new BadRequestException(RoutingError.notRun(kind, message));
  }
}
