package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Tests a log whose last mark, which is never synced, is lost with a later write. */
public final class LostMarkTest {

  private static final Path FOLDER = Path.of("/data");

  private final Codec codec = new Codec();

  private GroupLog log(Disk disk) {
    StorageSettings settings = new StorageSettings(FOLDER, 700, "id-1");
    return new GroupLog(StorageModel.GROUP, settings, codec, disk);
  }

  /** Guards against a group that stops for good, although each acknowledged record is there. */
  @Test
  public void markThatIsLostWithFailedSyncStopsNothing() throws IOException {
    FakeDisk disk = new FakeDisk();
    disk.evictAfterFailedSync();
    disk.createFolder(FOLDER);
    GroupLog log = log(disk);
    log.recover();
    StorageModel model = new StorageModel();
    log.append(List.of(LogWrite.of(model.persist(new HardState(1, "a", 7), 0, 2))));
    log.markSynced();
    List<LogWrite> next = List.of(LogWrite.of(model.persist(new HardState(2, "b", 7), 0, 1)));
    disk.failNextSync();
    assertThrows(IOException.class, () -> log.append(next));
    log.append(next);
    log.markSynced();
    log.close();
    assertEquals(log(disk).recover(), model.stateAfter(2));
  }
}
