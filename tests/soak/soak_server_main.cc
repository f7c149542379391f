#include <memory>

#include "apps/standin_main.h"
#include "soak/soak_server.h"

// Arguments: the address to listen on, the server's id, and the record file.
int main(int argc, char** argv) {
  if (argc != 4) {
    return foxtail::kExitSettings;
  }
  foxtail::InstallFiberScheduler();
  const auto server = std::make_unique<foxtail::SoakServer>(argv[2], argv[3]);
  foxtail::ServeStandin(
      argv[1], foxtail::HttpServerSettings().m_body_limit,
      [&](foxtail::HttpRequest& request) { return server->Handle(request); });
}
