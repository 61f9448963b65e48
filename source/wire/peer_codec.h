// The encoding of messages between processes, as protobuf. Nothing is decided
// here.
#pragma once

#include <string>
#include <string_view>

#include "core/peer_messages.h"

namespace boragepick {

// Frames of another version are dropped.
inline constexpr std::uint32_t kWireVersion = 1;

struct PeerFrame {
  PeerSender from;
  PeerMessage message;
};

std::string EncodePeerFrame(const PeerSender& from, const PeerMessage& message);

// Throws Error at Step::kDecodePeerFrame for a frame that is cut, foreign or
// out of range; `peer` names where it came from.
PeerFrame DecodePeerFrame(std::string_view frame, const std::string& peer);

}  // namespace boragepick
