package org.skylarkfork.runtime.transport;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.jspecify.annotations.Nullable;

/**
 * Mutual TLS from PEM files that can be replaced while the daemon runs.
 *
 * <p>Each new connection takes the newest files; open connections keep what they began with.
 */
final class TlsContexts {

  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  private final TlsFiles files;
  private volatile Loaded loaded;

  /**
   * Reads the files.
   *
   * @throws TransportException of kind {@code CERTIFICATE_UNUSABLE} if they don't fit
   */
  TlsContexts(TlsFiles files) {
    this.files = files;
    this.loaded = load(files);
  }

  /**
   * Reads the files again and returns whether they had changed.
   *
   * @throws TransportException if the new files don't fit; the old ones stay in use
   */
  boolean reload() {
    byte[][] before = loaded.contents();
    byte[][] now = {read(files.certificate()), read(files.key()), read(files.trusted())};
    if (Arrays.deepEquals(before, now)) {
      return false;
    }
    loaded = build(files, now);
    return true;
  }

  /** Returns a handler for an accepted connection, which demands a certificate. */
  SslHandler forServer(Channel channel) {
    return loaded.server().newHandler(channel.alloc());
  }

  /** Returns a handler for an outgoing connection. */
  SslHandler forClient(Channel channel) {
    return loaded.client().newHandler(channel.alloc());
  }

  /** Returns the common name of the peer's certificate, or null if it has none. */
  static @Nullable String commonName(SslHandler handler) {
    try {
      X509Certificate certificate =
          (X509Certificate) handler.engine().getSession().getPeerCertificates()[0];
      LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
      for (Rdn part : subject.getRdns()) {
        if (part.getType().equalsIgnoreCase("CN")) {
          return part.getValue().toString();
        }
      }
      return null;
    } catch (SSLPeerUnverifiedException | InvalidNameException e) {
      return null;
    }
  }

  private static Loaded load(TlsFiles files) {
    byte[][] contents = {read(files.certificate()), read(files.key()), read(files.trusted())};
    return build(files, contents);
  }

  private static byte[] read(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new TransportException(
          TransportException.Kind.CERTIFICATE_UNUSABLE, file + ": " + e, e);
    }
  }

  private static Loaded build(TlsFiles files, byte[][] contents) {
    try {
      CertificateKeyPair own = CertificateKeyPair.parse(contents[0], contents[1]);
      SslContext server =
          SslContextBuilder.forServer(own.key(), own.chain())
              .sslProvider(SslProvider.JDK)
              .trustManager(new ByteArrayInputStream(contents[2]))
              .clientAuth(ClientAuth.REQUIRE)
              .protocols(PROTOCOLS)
              .build();
      // The name in the certificate is the node's, not its IP number's: it is compared with the
      // greeting, which a stranger with another node's signed certificate can't pass.
      SslContext client =
          SslContextBuilder.forClient()
              .sslProvider(SslProvider.JDK)
              .keyManager(own.key(), own.chain())
              .trustManager(new ByteArrayInputStream(contents[2]))
              .endpointIdentificationAlgorithm(null)
              .protocols(PROTOCOLS)
              .build();
      return new Loaded(contents, server, client);
    } catch (GeneralSecurityException | SSLException | IllegalArgumentException e) {
      throw new TransportException(
          TransportException.Kind.CERTIFICATE_UNUSABLE, files + ": " + e.getMessage(), e);
    }
  }

  private record Loaded(byte[][] contents, SslContext server, SslContext client) {}
}
