// boragepick-standin: replaces one of the services around boragepick in tests
// and in the demo.

#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <string>

#include "common/error.h"
#include "tools/standin/standins.h"

namespace {

using namespace boragepick;
using namespace boragepick::standin;

using Runner = void (*)(GlibLoop&, const StandinOptions&);

const std::map<std::string, Runner> kRunners = {{"kv", RunKeyValue},
                                                {"engine", RunEngine},
                                                {"service", RunService},
                                                {"store", RunWeightStore},
                                                {"vms", RunVmList}};

}  // namespace

int main(int argc, char** argv) {
  StandinOptions options;
  std::string kind;
  std::string endpoint;
  po::options_description description(
      "boragepick-standin --kind kv|engine|service|store|vms --endpoint "
      "IP:PORT");
  description.add_options()("help,h", "show this help")(
      "kind", po::value(&kind), "service to stand in for")(
      "endpoint", po::value(&endpoint), "listening address")(
      "memory-mb", po::value(&options.memory_mb)->default_value(16384),
      "engine: memory")("load-ms",
                        po::value(&options.load_ms)->default_value(300),
                        "engine: duration of a load without --store-url")(
      "token-ms", po::value(&options.token_ms)->default_value(0),
      "engine: time between tokens")(
      "crash-ms", po::value(&options.crash_ms)->default_value(300),
      "engine: downtime after a crash")(
      "ignore-fences", po::bool_switch(&options.ignore_fences),
      "engine: accept orders with an old fence")(
      "store-url", po::value(&options.store_url),
      "engine: URL of the weight store")(
      "fetch-ms", po::value(&options.fetch_ms)->default_value(200),
      "store: duration of a fetch at full speed")(
      "fetches-per-second",
      po::value(&options.fetches_per_second)->default_value(8),
      "store: maximum fetches started per second")(
      "service-ms", po::value(&options.service_ms)->default_value(0),
      "service: duration of a call")(
      "lag-ms", po::value(&options.lag_ms)->default_value(0),
      "vms: delay before a new list is served");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    const auto runner = kRunners.find(kind);
    if (runner == kRunners.end()) {
      std::cerr << "boragepick-standin: unknown --kind; see --help\n";
      return 2;
    }
    options.endpoint = ParseEndpoint(endpoint);
    GlibLoop loop;
    g_main_context_push_thread_default(loop.context());
    runner->second(loop, options);
    return 0;
  } catch (const po::error& error) {
    std::cerr << "boragepick-standin: " << error.what() << '\n';
    return 2;
  } catch (const Error& error) {
    std::cerr << "boragepick-standin: " << error.what() << '\n';
    return 1;
  }
}
