#include <array>

#include "apps/standin_main.h"
#include "standins/platform_standin.h"

namespace foxtail {
namespace {

struct PlatformStandinSettings {
  std::string m_listen = "127.0.0.1:8380";
};

using S = PlatformStandinSettings;

constexpr std::array<SettingRow<S>, 1> kSettingRows = {{
    {"listen", "STANDIN_PLATFORM_LISTEN", "text", 9, 64, "IP:PORT",
     &S::m_listen},
}};

constexpr size_t kBodyLimit = 64 * 1024 * 1024;  // bytes

int Run(const S& settings) {
  InstallFiberScheduler();
  PlatformStandin platform;
  ServeStandin(settings.m_listen, kBodyLimit,
               [&](HttpRequest& request) { return platform.Handle(request); });
}

}  // namespace
}  // namespace foxtail

int main(int argc, char** argv, char** environment) {
  return foxtail::RunDaemon<foxtail::PlatformStandinSettings>(
      argc, argv, environment, "stand-in for the platform, for tests only",
      "STANDIN_PLATFORM_", foxtail::kSettingRows,
      &foxtail::CheckStandinSettings<foxtail::PlatformStandinSettings>,
      &foxtail::Run);
}
