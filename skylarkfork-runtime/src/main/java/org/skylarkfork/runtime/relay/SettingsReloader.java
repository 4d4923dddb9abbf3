package org.skylarkfork.runtime.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.runtime.startup.SettingsParser;
import org.tinylog.Logger;

/**
 * Reloads a relay daemon's settings file when it changes, on SIGHUP and periodically.
 *
 * <p>Only the control VMs to contact take effect; everything else needs a restart. Settings that
 * can't be read leave the daemon as it is.
 */
public final class SettingsReloader {

  private static final long POLL_INTERVAL_SECONDS = 2;

  private final Path file;
  private final SettingsParser<RelaySettings> parser;
  private final Consumer<List<String>> onSeeds;
  private RelaySettings currentSettings;
  private String lastText = "";

  /**
   * Creates a reloader.
   *
   * @param file the settings file
   * @param parser parses its text
   * @param settings settings that the daemon was started with
   * @param onSeeds receives the peer names of the control VMs when they have changed
   */
  public SettingsReloader(
      Path file,
      SettingsParser<RelaySettings> parser,
      RelaySettings settings,
      Consumer<List<String>> onSeeds) {
    this.file = file;
    this.parser = parser;
    this.currentSettings = settings;
    this.onSeeds = onSeeds;
  }

  /**
   * Starts to reload.
   *
   * @param process process whose SIGHUP reloads
   */
  public void start(DaemonProcess process) {
    process.onHangUp(this::reloadIfChanged);
    Thread thread = new Thread(this::pollFile, "settings");
    thread.setDaemon(true);
    thread.start();
  }

  private void pollFile() {
    try {
      while (true) {
        TimeUnit.SECONDS.sleep(POLL_INTERVAL_SECONDS);
        reloadIfChanged();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads the file and applies what has changed. */
  synchronized void reloadIfChanged() {
    try {
      String text = Files.readString(file);
      if (text.equals(lastText)) {
        return;
      }
      lastText = text;
      apply(parser.parse(text));
    } catch (IOException | RuntimeException | Error malformed) {
      // An error, such as of a text that is nested too deeply, must not end the thread.
      Logger.warn("node: changed settings can't be read: {}", malformed.toString());
    }
  }

  private void apply(RelaySettings parsed) {
    List<String> seeds = parsed.seeds();
    if (!seeds.equals(currentSettings.seeds())) {
      onSeeds.accept(seeds);
    }
    currentSettings = parsed;
  }
}
