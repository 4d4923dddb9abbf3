package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link SettingsReloader}; a text is the one seed that it names, or the failure. */
public final class SettingsReloaderTest {

  private Path file;
  private List<List<String>> reloaded;
  private SettingsReloader reloader;

  /** Creates a reloader of settings that name the seed {@code a}. */
  @BeforeMethod
  public void createReloader() throws IOException {
    file = Files.createTempFile("settings", ".txt");
    Files.writeString(file, "a");
    reloaded = new ArrayList<>();
    reloader =
        new SettingsReloader(file, SettingsReloaderTest::parse, settings("a"), reloaded::add);
  }

  /** Deletes the file. */
  @AfterMethod
  public void deleteFile() throws IOException {
    Files.deleteIfExists(file);
  }

  private static RelaySettings parse(String text) throws IOException {
    return switch (text) {
      case "malformed" -> throw new IOException("cut");
      case "wrong port" -> throw new NumberFormatException("port");
      case "nested" -> throw new StackOverflowError();
      default -> settings(text);
    };
  }

  private static RelaySettings settings(String seed) {
    return new RelaySettings(
        "node",
        "zone",
        List.of("zone"),
        new InetSocketAddress("127.0.0.1", 1),
        List.of(seed),
        null,
        null,
        null,
        null,
        null,
        null,
        false,
        3,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        0.2,
        Duration.ofSeconds(8),
        EntryCapacity.UNKNOWN,
        OverloadSettings.DEFAULT);
  }

  @Test
  public void onlyChangedSeedsAreReloaded() throws IOException {
    reloader.reloadIfChanged();
    Files.writeString(file, "b");
    reloader.reloadIfChanged();
    reloader.reloadIfChanged();
    assertEquals(reloaded, List.of(List.of("b")));
  }

  /** Guards against settings that end the thread which reads them, so that no later ones count. */
  @Test
  public void unreadableSettingsKeepTheDaemonAsItIs() throws IOException {
    for (String text : List.of("malformed", "wrong port", "nested")) {
      Files.writeString(file, text);
      reloader.reloadIfChanged();
    }
    Files.delete(file);
    reloader.reloadIfChanged();
    assertEquals(reloaded, List.of());
    Files.writeString(file, "b");
    reloader.reloadIfChanged();
    assertEquals(reloaded, List.of(List.of("b")));
  }
}
