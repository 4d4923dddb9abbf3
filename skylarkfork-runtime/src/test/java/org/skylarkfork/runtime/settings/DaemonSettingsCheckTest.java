package org.skylarkfork.runtime.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link DaemonSettingsCheck}. */
public final class DaemonSettingsCheckTest {

  private static final String GOOD =
      """
      node: vm-1
      cluster: bond
      region: nl-mid
      zone: utrecht-a
      host: 127.0.0.1
      callerPort: 8080
      adminPort: 8081
      peerPort: 8082
      dataFolder: FOLDER
      voters: [vm-1, vm-3]
      seeds:
        - {node: vm-1, host: 127.0.0.1, port: 8082}
        - {node: vm-3, host: 127.0.0.3, port: 8082}
      ratingService: 127.0.0.20:9300
      sessionSecret: 0123456789abcdef
      entryListLifetime: 2s
      """;

  private Path folder;

  /** Makes a data folder. */
  @BeforeClass
  public void makeFolder() throws IOException {
    folder = Files.createTempDirectory("settings");
  }

  /** Deletes the data folder. */
  @AfterClass
  public void deleteFolder() throws IOException {
    Files.delete(folder);
  }

  @Test
  public void acceptsWhatWorks() {
    assertEquals(DaemonSettingsCheck.reader().read(placed(GOOD)).node(), "vm-1");
  }

  /** Returns what is replaced in good settings, by what, and parts of the message. */
  @DataProvider
  public Object[][] mistakes() {
    return new Object[][] {
      {"host: 127.0.0.1\n", "host: 300.0.0.1\n", "Line 5: host: 300.0.0.1", "0 to 255"},
      {"host: 127.0.0.1\n", "host: 0.0.0.0\n", "Line 5: host: ", "VM's own IP number"},
      {"adminPort: 8081", "adminPort: 8080", "Line 7: adminPort: 8080 is also", "its own port"},
      {"dataFolder: FOLDER\n", "", "voters: vm-1 votes but has no dataFolder", "Give it one"},
      {"FOLDER", "FOLDER/missing", "Line 9: dataFolder: ", "Mount or make it"},
      {"[vm-1, vm-3]", "[]", "Line 10: voters: ", "List the control VMs"},
      {"  - {node: vm-3, host: 127.0.0.3, port: 8082}\n", "", "Line 11: seeds: ", "at least one"},
      {"node: vm-3,", "node: vm-1,", "Line 13: seeds.1.node: vm-1 is listed twice", "Remove"},
      {"127.0.0.3", "127.0.0.1", "Line 13: seeds.1.host: another seed", "Correct one"},
      {"127.0.0.3", "127.0.0.256", "Line 13: seeds.1.host: 127.0.0.256", "0 to 255"},
      {"peerPort: 8082", "peerPort: 9", "Line 12: seeds.0.node: vm-1 is this daemon", "the same"},
      {"node: vm-1\n", "node: vm-3\n", "Line 12: seeds.0.node: vm-1 has this", "Correct node"},
      {"0.20:9300", "0.20:99300", "Line 14: ratingService: 99300 is no port", "1 to 65535"},
      {"2s", "0s", "Line 16: entryListLifetime: ", "10s is usual"},
      {"2s\n", "2s\ntimelineFile: FOLDER\n", "Line 17: timelineFile: ", "Name a file"},
      {
        "2s\n",
        "2s\ntls: {certificate: /no/a, key: /no/b, trusted: /no/c}\n",
        "Line 17: tls.certificate: /no/a can't be read",
        "tls.trusted: /no/c can't be read. Put the PEM file there"
      }
    };
  }

  @Test(dataProvider = "mistakes")
  public void namesLineAndRemedy(String good, String bad, String what, String remedy) {
    assertTrue(GOOD.contains(good), good);
    String text = placed(GOOD.replace(good, bad));
    SettingsException refused =
        expectThrows(SettingsException.class, () -> DaemonSettingsCheck.reader().read(text));
    assertTrue(refused.getMessage().contains(what), refused.getMessage());
    assertTrue(refused.getMessage().contains(remedy), refused.getMessage());
  }

  private String placed(String text) {
    return text.replace("FOLDER", folder.toString());
  }
}
