#include "core/serving/serving_request.h"

#include "common/hashing.h"

namespace boragepick {

std::string PromptPartName(PromptPartId id) {
  return HexNumber(id);
}

}  // namespace boragepick
