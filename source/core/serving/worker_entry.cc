#include "core/serving/worker_entry.h"

#include <algorithm>

namespace boragepick {

const LoadedModel* EngineContents::Find(const std::string& model) const {
  const auto found = std::ranges::find(models, model, &LoadedModel::name);
  return found == models.end() ? nullptr : &*found;
}

bool EngineContents::Holds(const std::string& model,
                           const std::string& adapter) const {
  const LoadedModel* loaded = Find(model);
  return loaded != nullptr &&
         (adapter.empty() || std::ranges::find(loaded->adapters, adapter) !=
                                 loaded->adapters.end());
}

WeightsSource EngineContents::SourceOf(const std::string& model) const {
  if (std::ranges::find(in_memory, model) != in_memory.end())
    return WeightsSource::kMemory;
  if (std::ranges::find(on_disk, model) != on_disk.end())
    return WeightsSource::kDisk;
  return WeightsSource::kStore;
}

void EngineContents::Drop(const std::string& model,
                          const std::string& adapter) {
  const auto found = std::ranges::find(models, model, &LoadedModel::name);
  if (found == models.end())
    return;
  if (adapter.empty() || std::erase(found->adapters, adapter) == 0)
    models.erase(found);
}

}  // namespace boragepick
