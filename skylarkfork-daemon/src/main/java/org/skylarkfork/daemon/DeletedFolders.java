package org.skylarkfork.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Deletes folders that a command made for itself. */
public final class DeletedFolders {

  private DeletedFolders() {}

  /** Deletes a folder with all that is in it. */
  public static void delete(Path folder) {
    try (Stream<Path> found = Files.walk(folder)) {
      List<Path> deepestFirst = found.sorted(Comparator.reverseOrder()).toList();
      for (Path path : deepestFirst) {
        Files.deleteIfExists(path);
      }
    } catch (IOException failure) {
      throw new UncheckedIOException("The folder " + folder + " can't be deleted.", failure);
    }
  }
}
