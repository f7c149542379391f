#pragma once

#include <cstdlib>
#include <functional>
#include <string>

#include "apps/program.h"
#include "runtime/http_server.h"

namespace foxtail {

/// Serves HTTP on the calling thread until the process receives SIGINT or
/// SIGTERM, then exits the process. The fiber scheduler must be installed.
[[noreturn]] inline void ServeStandin(const std::string& listen,
                                      size_t body_limit,
                                      HttpServer::Handler handler) {
  HttpServerSettings settings;
  settings.m_body_limit = body_limit;
  HttpServer server(ParseAddress(listen), settings, std::move(handler));
  server.Start();
  WaitForStopSignal([] {});
  std::_Exit(kExitDone);
}

/// Checks the settings of a stand-in. The listen address is the only one that
/// is checked.
template <typename Settings>
int CheckStandinSettings(const Settings& settings) {
  ParseAddress(settings.m_listen);
  return kExitDone;
}

}  // namespace foxtail
