package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.testng.annotations.Test;

/** Tests of {@link MemoryStorage}. */
public final class MemoryStorageTest {

  @Test
  public void testWritesSucceedOnlyWhereAllowed() {
    List<Event> events = new ArrayList<>();
    StorageModel model = new StorageModel();
    try (Storage storage = new MemoryStorage(true, events::add)) {
      storage.recover(StorageModel.GROUP);
      storage.execute(model.persist(null, 0, 1));
      storage.execute(model.save(1));
    }
    assertEquals(
        events,
        List.of(
            new StorageEvent.Recovered(StorageModel.GROUP, null, null, List.of()),
            new StorageEvent.Persisted(StorageModel.GROUP, 1),
            new StorageEvent.SnapshotSaved(StorageModel.GROUP, 1)));
    events.clear();
    try (Storage storage = new MemoryStorage(false, events::add)) {
      storage.execute(model.persist(null, 0, 1));
    }
    assertTrue(events.get(0) instanceof StorageEvent.Failed);
  }
}
