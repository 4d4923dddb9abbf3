package org.skylarkfork.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.announce.EngineRole;
import org.skylarkfork.standin.announce.LoadedModel;

/** What an engine serves at present; safe for use by several threads. */
final class LoadedModels {

  private final Map<String, LoadedModel> loaded = new LinkedHashMap<>();
  private EngineRole role;

  LoadedModels(List<LoadedModel> models, EngineRole role) {
    models.forEach(model -> loaded.put(model.key(), model));
    this.role = role;
  }

  synchronized boolean serves(String modelKey) {
    return loaded.containsKey(modelKey);
  }

  synchronized List<LoadedModel> present() {
    return List.copyOf(loaded.values());
  }

  synchronized EngineRole role() {
    return role;
  }

  synchronized void takeRole(EngineRole newRole) {
    role = newRole;
  }

  synchronized void load(String model, String version, @Nullable String adapter) {
    LoadedModel added = new LoadedModel(model, version, List.of());
    LoadedModel present = loaded.getOrDefault(added.key(), added);
    List<String> adapters = new ArrayList<>(present.adapters());
    if (adapter != null && !adapters.contains(adapter)) {
      adapters.add(adapter);
    }
    loaded.put(added.key(), new LoadedModel(model, version, adapters));
  }

  synchronized void unload(String model, String version, @Nullable String adapter) {
    String key = model + ":" + version;
    LoadedModel present = loaded.get(key);
    if (present == null) {
      return;
    }
    if (adapter == null) {
      loaded.remove(key);
      return;
    }
    List<String> adapters = new ArrayList<>(present.adapters());
    adapters.remove(adapter);
    loaded.put(key, new LoadedModel(model, version, adapters));
  }
}
