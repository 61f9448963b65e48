// The exception type of the code base. It carries the step that failed and the
// peer involved.
#pragma once

#include <stdexcept>
#include <string>

#include "common/enum_table.h"

namespace boragepick {

enum class Step {
  kSettings,
  kCommandLine,
  kDecodeDocument,
  kValidateDocument,
  kDecodePeerFrame,
  kDecodePlatformReply,
  kCallPlatform,
  kCallUpstream,
  kCallRouter,
  kListen,
  kReadFile,
};

inline constexpr EnumTable kStepNames{std::array{
    EnumName<Step>{Step::kSettings, "settings"},
    EnumName<Step>{Step::kCommandLine, "command_line"},
    EnumName<Step>{Step::kDecodeDocument, "decode_document"},
    EnumName<Step>{Step::kValidateDocument, "validate_document"},
    EnumName<Step>{Step::kDecodePeerFrame, "decode_peer_frame"},
    EnumName<Step>{Step::kDecodePlatformReply, "decode_platform_reply"},
    EnumName<Step>{Step::kCallPlatform, "call_platform"},
    EnumName<Step>{Step::kCallUpstream, "call_upstream"},
    EnumName<Step>{Step::kCallRouter, "call_router"},
    EnumName<Step>{Step::kListen, "listen"},
    EnumName<Step>{Step::kReadFile, "read_file"},
}};

class Error : public std::runtime_error {
 public:
  // `peer` names the remote end or the file concerned; it is empty when neither
  // is involved.
  Error(Step step, std::string peer, const std::string& reason)
      : std::runtime_error(Describe(step, peer, reason)),
        m_step(step),
        m_peer(std::move(peer)),
        m_reason(reason) {}

  Step step() const { return m_step; }
  const std::string& peer() const { return m_peer; }
  // The message without step and peer.
  const std::string& reason() const { return m_reason; }

 private:
  static std::string Describe(Step step,
                              const std::string& peer,
                              const std::string& reason) {
    std::string text(kStepNames.Name(step));
    if (!peer.empty())
      text += " (" + peer + ")";
    return text + ": " + reason;
  }

  Step m_step;
  std::string m_peer;
  std::string m_reason;
};

}  // namespace boragepick
