package org.skylarkfork.core.configuration;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;

/**
 * One difference between two configurations. It holds the old and the new value, so that it can be
 * inverted and a mismatch with the base configuration is detected.
 */
public sealed interface ConfigurationDifference {

  /**
   * A team differs.
   *
   * @param name name of the team
   * @param before the old team, or null if it is new
   * @param after the new team, or null if it is removed
   */
  record TeamDiffers(String name, @Nullable Team before, @Nullable Team after)
      implements ConfigurationDifference {}

  /**
   * A model differs.
   *
   * @param name name of the model
   * @param before the old model, or null if it is new
   * @param after the new model, or null if it is removed
   */
  record ModelDiffers(String name, @Nullable Model before, @Nullable Model after)
      implements ConfigurationDifference {}

  /**
   * A plain service differs.
   *
   * @param name name of the service
   * @param before the old service, or null if it is new
   * @param after the new service, or null if it is removed
   */
  record ServiceDiffers(
      String name, @Nullable ServiceDefinition before, @Nullable ServiceDefinition after)
      implements ConfigurationDifference {}

  /**
   * A contiguous range of rules is replaced.
   *
   * @param position index of the first replaced rule
   * @param before the old rules of the range; may be empty
   * @param after the rules that replace them; may be empty
   */
  record RulesDiffer(int position, List<Rule> before, List<Rule> after)
      implements ConfigurationDifference {

    /** Copies the rules. */
    public RulesDiffer {
      before = List.copyOf(before);
      after = List.copyOf(after);
    }
  }

  /**
   * A roll-out differs.
   *
   * @param model name of its model
   * @param before the old roll-out, or null if it is new
   * @param after the new roll-out, or null if it is removed
   */
  record RollOutDiffers(String model, @Nullable RollOut before, @Nullable RollOut after)
      implements ConfigurationDifference {}

  /**
   * A version was withdrawn or reinstated.
   *
   * @param version the version
   * @param withdrawn whether it is withdrawn afterwards
   */
  record WithdrawalDiffers(ModelVersion version, boolean withdrawn)
      implements ConfigurationDifference {}

  /**
   * An upstream was drained or its draining ended.
   *
   * @param upstream id of the upstream
   * @param drained whether it is drained afterwards
   */
  record UpstreamDrainDiffers(String upstream, boolean drained)
      implements ConfigurationDifference {}

  /**
   * An entry VM was drained or its draining ended.
   *
   * @param vm node name of the VM
   * @param drained whether it is drained afterwards
   */
  record VmDrainDiffers(String vm, boolean drained) implements ConfigurationDifference {}

  /**
   * A request was quarantined or its quarantine was lifted.
   *
   * @param request the request
   * @param quarantined whether it is refused afterwards
   */
  record QuarantineDiffers(RequestKey request, boolean quarantined)
      implements ConfigurationDifference {}

  /**
   * An operator's key differs.
   *
   * @param id id of the key
   * @param before the old key, or null if it is new
   * @param after the new key, or null if it is removed
   */
  record OperatorKeyDiffers(String id, @Nullable OperatorKey before, @Nullable OperatorKey after)
      implements ConfigurationDifference {}

  /**
   * The policy for versions with bad ratings differs.
   *
   * @param before the old policy
   * @param after the new policy
   */
  record VersionPolicyDiffers(VersionPolicy before, VersionPolicy after)
      implements ConfigurationDifference {}
}
