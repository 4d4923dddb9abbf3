package org.skylarkfork.runtime.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.MembershipMessage;
import org.skylarkfork.core.message.PeerMessage;
import org.testng.annotations.Test;

/** Tests of mutual TLS in {@link PeerTransport}. */
public final class TlsTransportTest {

  private static final PeerMessage MESSAGE = new MembershipMessage.Nack(1, 2);

  private static Path pem(String name) {
    try {
      return Path.of(TlsTransportTest.class.getResource("/pem/" + name).toURI());
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  private static TlsFiles files(String name) {
    return new TlsFiles(pem(name + ".pem"), pem(name + ".key"), pem("ca.pem"));
  }

  private static TestNode node(String name, TlsFiles files) {
    return new TestNode(name, "127.0.0.1", 0, TestNode.LIMITS, files);
  }

  @Test
  public void testNodesWithCertificatesOfOneAuthorityCommunicate() {
    try (TestNode a = node("node-a", files("node-a"));
        TestNode b = node("node-b", files("node-b"))) {
      a.learn(b, "127.0.0.1");
      a.send("node-b", MESSAGE);
      assertEquals(b.nextEvent(), new PeerEvent.MessageReceived("node-a", MESSAGE));
    }
  }

  @Test
  public void testUntrustedPeersAreRefusedAndCounted() throws IOException {
    // Three strangers: one signed by another authority, one that uses a signed certificate under
    // another node's name, one without TLS. None gets a message through; each is counted.
    try (TestNode b = node("node-b", files("node-b"));
        TestNode foreign = node("node-c", files("stranger"));
        TestNode impostor = node("node-c", files("node-a"))) {
      foreign.learn(b, "127.0.0.1");
      foreign.send("node-b", MESSAGE);
      TestNode.await("the foreign node", () -> b.transport.counts().refused() > 0);
      final long before = b.transport.counts().refused();
      foreign.transport.close();
      impostor.learn(b, "127.0.0.1");
      impostor.send("node-b", MESSAGE);
      TestNode.await("the impostor", () -> b.transport.counts().refused() > before);
      try (RawPeer plain = new RawPeer(b.transport.port())) {
        plain.write("no TLS at all, just text".getBytes());
        plain.awaitEnd();
        TestNode.await("the plain one", () -> b.transport.counts().malformed() == 1);
      }
      assertEquals(b.transport.counts().received(), 0);
      assertTrue(b.events.isEmpty());
    }
  }

  @Test
  public void testReloadUsesNewFilesAndKeepsOldOnesIfTheyDoNotMatch() throws IOException {
    Path folder = Files.createTempDirectory("pem");
    TlsFiles copies =
        new TlsFiles(folder.resolve("c.pem"), folder.resolve("c.key"), folder.resolve("ca.pem"));
    Files.copy(pem("ca.pem"), copies.trusted());
    Files.copy(pem("stranger.pem"), copies.certificate());
    Files.copy(pem("stranger.key"), copies.key());
    try (TestNode a = node("node-a", copies);
        TestNode b = node("node-b", files("node-b"))) {
      a.learn(b, "127.0.0.1");
      a.send("node-b", MESSAGE);
      TestNode.await("the refusal", () -> b.transport.counts().refused() > 0);
      assertFalse(a.transport.reload());
      replace(copies.certificate(), "node-a-renewed.pem");
      TransportException unfit = expectThrows(TransportException.class, () -> a.transport.reload());
      assertEquals(unfit.kind(), TransportException.Kind.CERTIFICATE_UNUSABLE);
      replace(copies.key(), "node-a-renewed.key");
      assertTrue(a.transport.reload());
      TestNode.await(
          "a message with the new certificate",
          () -> {
            a.send("node-b", MESSAGE);
            return !b.events.isEmpty();
          });
      assertEquals(b.nextEvent(), new PeerEvent.MessageReceived("node-a", MESSAGE));
    }
  }

  private static void replace(Path file, String name) throws IOException {
    Files.copy(pem(name), file, StandardCopyOption.REPLACE_EXISTING);
  }
}
