package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.configuration.ConfigurationDifference.RulesDiffer;
import org.skylarkfork.core.message.ConfigurationMessage.CopyChunk;

/** A configuration cut into parts that fit into a frame each. */
final class FullCopy {

  static final int MAX_CHUNK_WEIGHT = 500;

  private final long revision;
  private final List<List<ConfigurationDifference>> chunks = new ArrayList<>();
  private List<ConfigurationDifference> currentChunk = new ArrayList<>();
  private int currentWeight;

  FullCopy(Configuration configuration) {
    revision = configuration.revision();
    for (ConfigurationDifference difference :
        Differences.between(Configuration.EMPTY, configuration)) {
      if (difference instanceof RulesDiffer rules) {
        addRules(rules.after());
      } else {
        add(difference);
      }
    }
    if (!currentChunk.isEmpty() || chunks.isEmpty()) {
      chunks.add(currentChunk);
    }
  }

  private void addRules(List<Rule> rules) {
    int start = 0;
    int weight = 0;
    for (int index = 0; index < rules.size(); index++) {
      weight += Differences.weight(rules.get(index));
      if (weight >= MAX_CHUNK_WEIGHT || index == rules.size() - 1) {
        add(new RulesDiffer(start, List.of(), rules.subList(start, index + 1)));
        start = index + 1;
        weight = 0;
      }
    }
  }

  private void add(ConfigurationDifference difference) {
    int weight = Differences.weight(difference);
    if (currentWeight + weight > MAX_CHUNK_WEIGHT && !currentChunk.isEmpty()) {
      chunks.add(currentChunk);
      currentChunk = new ArrayList<>();
      currentWeight = 0;
    }
    currentChunk.add(difference);
    currentWeight += weight;
  }

  long revision() {
    return revision;
  }

  /** Returns a part; an index outside the copy gives the first part again. */
  CopyChunk chunk(int index) {
    int bounded = index < 0 || index >= chunks.size() ? 0 : index;
    return new CopyChunk(revision, bounded, chunks.size(), chunks.get(bounded));
  }
}
