package org.skylarkfork.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the hashes of keys and changes. */
public final class Sha256 {

  private Sha256() {}

  /** Returns the SHA-256 of a text in lower-case hex. */
  public static String hex(String text) {
    try {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
