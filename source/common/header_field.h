// A header of a request or an answer that is passed on as it came.
#pragma once

#include <string>

namespace boragepick {

struct HeaderField {
  std::string name;
  std::string value;
  bool operator==(const HeaderField&) const = default;
};

}  // namespace boragepick
