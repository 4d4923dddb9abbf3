package org.skylarkfork.core.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.skylarkfork.core.request.CallerRequest;

/** Hash that distinguishes requests with the same idempotency key. */
final class RequestHash {

  private RequestHash() {}

  /** Returns the SHA-256 in hex over kind, model, service, method, path and body of a request. */
  static String of(CallerRequest request) {
    MessageDigest digest = sha256();
    add(digest, request.kind().name());
    add(digest, request.model());
    add(digest, request.service());
    add(digest, request.method());
    add(digest, request.path());
    digest.update(request.body().value());
    return HexFormat.of().formatHex(digest.digest());
  }

  private static void add(MessageDigest digest, String field) {
    digest.update(field.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256; use a complete runtime", e);
    }
  }
}
