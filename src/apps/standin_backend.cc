#include "apps/standin_main.h"
#include "standins/backend_standin.h"

namespace foxtail {
namespace {

int Run(const BackendStandinSettings& settings) {
  InstallFiberScheduler();
  BackendStandin backend(settings);
  ServeStandin(settings.m_listen, HttpServerSettings().m_body_limit,
               [&](HttpRequest& request) { return backend.Handle(request); });
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::BackendStandinSettings>(
      argc, argv, environment, "stand-in for a backend server, for tests only",
      "STANDIN_BACKEND_", foxtail::BackendStandinRows(),
      &foxtail::CheckStandinSettings<foxtail::BackendStandinSettings>,
      &foxtail::Run);
}
