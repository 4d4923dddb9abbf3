package org.skylarkfork.core.session;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * Writes and checks the signed tokens that carry a pin through the caller.
 *
 * <p>A token is the fields in base64 and an HMAC-SHA256 over them, joined by dots.
 */
public final class SessionTokens {

  /** Least length of a key in bytes. */
  public static final int MIN_KEY_BYTES = 16;

  private static final String FORMAT = "session1";
  private static final String ALGORITHM = "HmacSHA256";
  private static final int FIELD_COUNT = 8;
  private static final int MAX_TOKEN_LENGTH = 4096;

  private final List<SecretKeySpec> keys;

  /**
   * Makes the signer and checker.
   *
   * @param keys the first signs and all are accepted, so that a key can be replaced in two steps
   * @throws IllegalArgumentException if there is no key or one is too short
   */
  public SessionTokens(List<byte[]> keys) {
    if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < MIN_KEY_BYTES)) {
      throw new IllegalArgumentException(
          "session keys need at least "
              + MIN_KEY_BYTES
              + " bytes each; make one with a random source");
    }
    this.keys = keys.stream().map(key -> new SecretKeySpec(key, ALGORITHM)).toList();
  }

  /** Returns a token for a pin. */
  public String sign(SessionPin pin, Instant expiry) {
    String payload =
        String.join(
            ".",
            FORMAT,
            encode(pin.key().team()),
            encode(pin.key().session()),
            encode(pin.version().model()),
            encode(pin.version().version()),
            Long.toString(pin.generation()),
            Long.toString(pin.pinnedAtMillis()),
            encode(pin.writer()),
            Long.toString(expiry.toEpochMilli()));
    return payload + "." + mac(keys.get(0), payload);
  }

  /** Returns the pin in a token, or empty if it is malformed, forged or expired. */
  public Optional<SessionPin> verify(String token, Instant now) {
    int signatureStart = token.lastIndexOf('.');
    if (signatureStart < 0 || token.length() > MAX_TOKEN_LENGTH) {
      return Optional.empty();
    }
    String payload = token.substring(0, signatureStart);
    byte[] signature = token.substring(signatureStart + 1).getBytes(StandardCharsets.UTF_8);
    boolean isSigned = false;
    for (SecretKeySpec key : keys) {
      isSigned |=
          MessageDigest.isEqual(mac(key, payload).getBytes(StandardCharsets.UTF_8), signature);
    }
    try {
      return isSigned ? parse(payload, now) : Optional.empty();
    } catch (IllegalArgumentException e) {
      // Only the holder of a key can sign such fields, as an older program might have.
      return Optional.empty();
    }
  }

  private static Optional<SessionPin> parse(String payload, Instant now) {
    List<String> fields = new ArrayList<>(List.of(payload.split("\\.", -1)));
    if (!fields.remove(0).equals(FORMAT) || fields.size() != FIELD_COUNT) {
      return Optional.empty();
    }
    if (!now.isBefore(Instant.ofEpochMilli(Long.parseLong(fields.get(7))))) {
      return Optional.empty();
    }
    SessionKey key = new SessionKey(decode(fields.get(0)), decode(fields.get(1)));
    ModelVersion version = new ModelVersion(decode(fields.get(2)), decode(fields.get(3)));
    long generation = Long.parseLong(fields.get(4));
    long pinnedAt = Long.parseLong(fields.get(5));
    return Optional.of(new SessionPin(key, version, generation, pinnedAt, decode(fields.get(6))));
  }

  private static String encode(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static String decode(String field) {
    return new String(Base64.getUrlDecoder().decode(field), StandardCharsets.UTF_8);
  }

  private static String mac(SecretKeySpec key, String payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      byte[] result = mac.doFinal(payload.getBytes(StandardCharsets.UTF_8));
      return Base64.getUrlEncoder().withoutPadding().encodeToString(result);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java lacks " + ALGORITHM + "; use a complete JDK", e);
    }
  }
}
