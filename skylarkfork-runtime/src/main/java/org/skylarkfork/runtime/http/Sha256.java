package org.skylarkfork.runtime.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes keys, so that only their hashes are kept. */
public final class Sha256 {

  private Sha256() {}

  /** Returns the SHA-256 of a text's UTF-8 bytes in lower-case hex. */
  public static String hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("each Java platform has SHA-256", impossible);
    }
  }
}
