package org.skylarkfork.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Rule;
import org.skylarkfork.core.request.CallerRequest;

/**
 * Rules indexed by team, model and service, so that a match looks only at rules that name the
 * request's own or name none.
 *
 * <p>A rule that names several is listed under each combination. The lists that a request selects
 * are merged in the order of the rules, and the first rule whose whole condition holds decides.
 */
public final class CompiledRules implements RuleBook {

  private static final String ANY = "*";

  /** A rule with more combinations is listed without the dimensions that would pass this bound. */
  private static final int MAX_COMBINATIONS = 64;

  private final List<Rule> rules;
  private final Map<Key, int[]> positions;

  /**
   * Indexes rules.
   *
   * @param rules the rules in order
   */
  public CompiledRules(List<Rule> rules) {
    this.rules = List.copyOf(rules);
    Map<Key, List<Integer>> lists = new HashMap<>();
    for (int position = 0; position < this.rules.size(); position++) {
      for (Key key : keys(this.rules.get(position).when())) {
        lists.computeIfAbsent(key, unused -> new ArrayList<>()).add(position);
      }
    }
    positions = new HashMap<>();
    lists.forEach((key, list) -> positions.put(key, toArray(list)));
  }

  @Override
  public Optional<Rule> match(CallerRequest request, String team, Instant now) {
    PositionMerger merge = candidates(request, team);
    for (int position = merge.next(); position >= 0; position = merge.next()) {
      Rule rule = rules.get(position);
      if (Conditions.holds(rule.when(), request, team, now)) {
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  @Override
  public String explain(CallerRequest request, String team, Instant now) {
    StringBuilder text = new StringBuilder();
    for (Rule rule : rules) {
      String mismatch = Conditions.mismatch(rule.when(), request, team, now);
      if (mismatch == null) {
        return text.append(rule.name()).append(": matches").toString();
      }
      text.append(rule.name()).append(": ").append(mismatch).append('\n');
    }
    return text.append("no rule matches").toString();
  }

  private PositionMerger candidates(CallerRequest request, String team) {
    PositionMerger merge = new PositionMerger();
    for (String teamKey : new String[] {ANY, team}) {
      for (String model : new String[] {ANY, request.model()}) {
        for (String service : new String[] {ANY, request.service()}) {
          merge.add(positions.get(new Key(teamKey, model, service)));
        }
      }
    }
    return merge;
  }

  private static List<Key> keys(Rule.Condition when) {
    List<String> teams = orAny(when.teams());
    List<String> services = orAny(when.services());
    List<String> models = orAny(when.models());
    if (teams.size() * services.size() > MAX_COMBINATIONS) {
      services = List.of(ANY);
    }
    if (teams.size() * services.size() * models.size() > MAX_COMBINATIONS) {
      models = List.of(ANY);
    }
    List<Key> keys = new ArrayList<>();
    for (String team : teams) {
      for (String model : models) {
        for (String service : services) {
          keys.add(new Key(team, model, service));
        }
      }
    }
    return keys;
  }

  private static List<String> orAny(List<String> names) {
    return names.isEmpty() ? List.of(ANY) : names.stream().distinct().toList();
  }

  private static int[] toArray(List<Integer> list) {
    return list.stream().mapToInt(Integer::intValue).toArray();
  }

  private record Key(String team, String model, String service) {}

  /** Merges sorted lists of positions; a position may come twice, which does no harm. */
  private static final class PositionMerger {
    private static final int MAX_LISTS = 8;

    private final int[][] lists = new int[MAX_LISTS][];
    private final int[] heads = new int[MAX_LISTS];
    private int size;

    void add(int @Nullable [] list) {
      if (list != null) {
        lists[size] = list;
        size++;
      }
    }

    /** Returns the next position in order, or -1 at the end. */
    int next() {
      int best = -1;
      for (int i = 0; i < size; i++) {
        if (heads[i] < lists[i].length
            && (best < 0 || lists[i][heads[i]] < lists[best][heads[best]])) {
          best = i;
        }
      }
      if (best < 0) {
        return -1;
      }
      int position = lists[best][heads[best]];
      heads[best]++;
      return position;
    }
  }
}
