// boragepickd: runs as a router or as an agent, depending on its settings.

#include <pthread.h>
#include <signal.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <string>

#include "common/error.h"
#include "core/roster/roster_entry.h"
#include "frontends/process.h"
#include "frontends/settings.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Run(const po::variables_map& options) {
  const auto settings =
      boragepick::ReadSettings(options["settings"].as<std::string>());
  if (options.count("check-settings") > 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  BlockSignals();
  if (boragepick::kNodeRoleNames.Find(settings.role) ==
      boragepick::NodeRole::kRouter)
    boragepick::RunRouter(settings);
  else
    boragepick::RunAgent(settings);
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description description("boragepickd --settings FILE\n\nOptions");
  description.add_options()("help,h", "show this text")(
      "settings,s", po::value<std::string>(), "the INI file of this process")(
      "check-settings", "validate the settings file and exit")(
      "print-default-settings", "print a commented file with all defaults");
  try {
    po::variables_map options;
    po::store(po::parse_command_line(argc, argv, description), options);
    po::notify(options);
    if (options.count("help") > 0) {
      std::cout << description;
      return kExitOk;
    }
    if (options.count("print-default-settings") > 0) {
      std::cout << boragepick::DefaultSettingsText();
      return kExitOk;
    }
    if (options.count("settings") == 0) {
      std::cerr << "boragepickd: expected --settings FILE; see --help\n";
      return kExitUsage;
    }
    return Run(options);
  } catch (const po::error& error) {
    std::cerr << "boragepickd: " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const boragepick::Error& error) {
    std::cerr << "boragepickd: " << error.what() << '\n';
    return kExitFailed;
  }
}
