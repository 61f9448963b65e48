// Encodes and decodes messages between processes as protobuf. Makes no
// decisions.
#pragma once

#include <string>
#include <string_view>

#include "core/peer_messages.h"

namespace boragepick {

// Frames of any other version are rejected.
inline constexpr std::uint32_t kWireVersion = 1;

struct PeerFrame {
  PeerSender from;
  PeerMessage message;
};

std::string EncodePeerFrame(const PeerSender& from, const PeerMessage& message);

// Throws Error at Step::kDecodePeerFrame for a frame that is truncated, in
// another format, or has values out of range. `peer` names the source of the
// frame in the error.
PeerFrame DecodePeerFrame(std::string_view frame, const std::string& peer);

}  // namespace boragepick
