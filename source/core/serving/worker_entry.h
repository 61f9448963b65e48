// The state that a worker reports: through the list of workers, and, more
// recently, through the controller on the same VM.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/enum_table.h"
#include "common/time.h"

namespace boragepick {

enum class WorkerState { kReady, kDraining };

inline constexpr EnumTable kWorkerStateNames{std::array{
    EnumName<WorkerState>{WorkerState::kReady, "ready"},
    EnumName<WorkerState>{WorkerState::kDraining, "draining"},
}};

// The location from which a load would read the weights.
enum class WeightsSource { kMemory, kDisk, kStore };

inline constexpr EnumTable kWeightsSourceNames{std::array{
    EnumName<WeightsSource>{WeightsSource::kMemory, "memory"},
    EnumName<WeightsSource>{WeightsSource::kDisk, "disk"},
    EnumName<WeightsSource>{WeightsSource::kStore, "store"},
}};

struct LoadedModel {
  std::string name;
  std::uint64_t version = 0;
  std::vector<std::string> adapters;
  bool operator==(const LoadedModel&) const = default;
};

// The weights that an engine has loaded or cached.
struct EngineContents {
  // Start time of the worker process in Unix milliseconds; distinguishes its
  // restarts.
  std::int64_t born = 0;
  std::vector<LoadedModel> models;
  // Weights with a cached copy in the VM's memory, or on its disk.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;

  const LoadedModel* Find(const std::string& model) const;
  bool Holds(const std::string& model, const std::string& adapter) const;
  // The fastest source of the model's weights.
  WeightsSource SourceOf(const std::string& model) const;
  // Removes the adapter if one is named and listed, else the whole model.
  void Drop(const std::string& model, const std::string& adapter);
};

struct WorkerEntry {
  // Usually unique to one worker process, but a restarted worker can keep it;
  // see EngineContents::born.
  std::string id;
  std::string service;
  // ip:port.
  std::string address;
  std::string data_centre;
  WorkerState state = WorkerState::kReady;
  std::uint32_t slots = 1;
  // How much longer the worker is cold, when it wrote the entry.
  Duration cold_remaining = Duration::zero();
  EngineContents contents;
};

}  // namespace boragepick
