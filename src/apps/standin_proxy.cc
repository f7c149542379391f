#include <array>
#include <sstream>

#include "apps/standin_main.h"
#include "standins/fault_proxy.h"

namespace foxtail {
namespace {

struct ProxySettings {
  std::string m_listen = "127.0.0.1:8480";
  std::string m_links;
};

using S = ProxySettings;

constexpr std::array<SettingRow<S>, 2> kSettingRows = {{
    {"listen", "STANDIN_PROXY_LISTEN", "text", 9, 64,
     "IP:PORT that sets faults", &S::m_listen},
    {"links", "STANDIN_PROXY_LINKS", "text", 1, 65536,
     "links, LISTEN=TARGET separated by commas", &S::m_links},
}};

int Run(const S& settings) {
  InstallFiberScheduler();
  std::vector<std::string> links;
  std::istringstream stream(settings.m_links);
  for (std::string link; std::getline(stream, link, ',');) {
    links.push_back(link);
  }
  FaultProxy proxy(links);
  proxy.Start();
  ServeStandin(settings.m_listen, HttpServerSettings().m_body_limit,
               [&](HttpRequest& request) { return proxy.Handle(request); });
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::ProxySettings>(
      argc, argv, environment, "stand-in for a faulty network, for tests only",
      "STANDIN_PROXY_", foxtail::kSettingRows,
      &foxtail::CheckStandinSettings<foxtail::ProxySettings>, &foxtail::Run);
}
