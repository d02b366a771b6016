// Load generator for entries, or for one engine without the fleet.
//
//   jackdawshunt_load --entry 127.0.0.1:8080 --token t --concurrency 32
//
// Prints one JSON object: requests, errors by kind, tokens, and percentiles of
// the time to first token and between tokens in milliseconds.
#include <iostream>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/load_run.h"

namespace jackdawshunt::testing {
namespace {

http::Address ParseTarget(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw CLI::ValidationError("address", "not IP:PORT: " + text);
  }
  return {text.substr(0, colon),
          static_cast<uint16_t>(std::stoi(text.substr(colon + 1)))};
}

int Main(int argc, char** argv) {
  CLI::App app("Sends streamed chat completions and measures their times.");
  LoadOptions options;
  std::vector<std::string> entries;
  std::string engine;
  auto* entry = app.add_option("--entry", entries,
                               "IP:PORT of the caller ports of entries");
  auto* direct = app.add_option("--direct", engine, "IP:PORT of an engine");
  entry->excludes(direct);
  app.add_option("--token", options.tokens, "Bearer tokens, used in turn");
  app.add_option("--model", options.model, "Name of the model");
  app.add_option("--concurrency", options.concurrency, "Requests at a time")
      ->check(CLI::PositiveNumber);
  app.add_option("--requests", options.requests, "Requests in all")
      ->check(CLI::PositiveNumber);
  app.add_option("--max-tokens", options.max_tokens, "Hint sent as max_tokens");
  app.add_option("--answer-tokens", options.answer_tokens,
                 "Length that the engine is directed to; default max_tokens");
  app.add_option("--timeout-ms", options.timeout_ms, "Limit of one request");
  CLI11_PARSE(app, argc, argv);
  if (!engine.empty()) {
    entries.push_back(engine);
  }
  if (entries.empty()) {
    std::cerr << "one of --entry and --direct is needed\n";
    return 2;
  }
  for (const std::string& target : entries) {
    options.targets.push_back(ParseTarget(target));
  }
  kernel::EventLoop loop;
  const nlohmann::json report = LoadRun(loop, options).Run();
  std::cout << report.dump(2) << '\n';
  return report["failed"] == 0 ? 0 : 1;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  return jackdawshunt::testing::Main(argc, argv);
}
