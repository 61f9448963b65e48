// An HTTP header field of a request or response that is forwarded unchanged.
#pragma once

#include <string>

namespace boragepick {

struct HeaderField {
  std::string name;
  std::string value;
  bool operator==(const HeaderField&) const = default;
};

}  // namespace boragepick
