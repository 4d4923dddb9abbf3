package org.skylarkfork.core.membership;

import java.util.Collections;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Shuffles lists with a seeded random generator. */
final class Shuffle {

  private Shuffle() {}

  static void inPlace(List<?> list, UniformRandomProvider random) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }
}
