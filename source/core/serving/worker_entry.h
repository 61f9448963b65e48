// What a worker says of itself: in the list of workers, and, newer, through the
// controller beside it.
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

// Where a load would take its weights from.
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

// What an engine holds.
struct EngineContents {
  // Unix milliseconds of the worker's start: tells its incarnations apart.
  std::int64_t born = 0;
  std::vector<LoadedModel> models;
  // Weights of which a copy is in the machine's memory, or on its disk.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;

  const LoadedModel* Find(const std::string& model) const;
  bool Holds(const std::string& model, const std::string& adapter) const;
  // The nearest copy of the model's weights.
  WeightsSource SourceOf(const std::string& model) const;
  // Not held after all: the model, or only the adapter when one is named.
  void Drop(const std::string& model, const std::string& adapter);
};

struct WorkerEntry {
  // Names one incarnation in most cases; see EngineContents::born.
  std::string id;
  std::string service;
  // ip:port.
  std::string address;
  std::string data_centre;
  WorkerState state = WorkerState::kReady;
  std::uint32_t slots = 1;
  EngineContents contents;
};

}  // namespace boragepick
