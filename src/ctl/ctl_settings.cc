#include "ctl/ctl_settings.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "core/error.h"
#include "runtime/address_list.h"

namespace foxtail {
namespace {

constexpr uint32_t kMaxTimeoutMs = 600'000;

constexpr const char* kHelp =
    R"(foxtailctl: plans configuration changes, shows their cost, confirms them

usage: foxtailctl [flags] VERB [ARGUMENTS]

  apply FILE                         plan the configuration in FILE (JSON)
  plan show PLAN                     show a plan
  confirm PLAN                       make a plan the configuration in force
  abandon PLAN                       discard an open plan
  status                             hosts, servers, partitions, leases, versions
  explain SERVICE KEY                which server owns a key, since when and why
  key grant WORKSPACE NAME           plan a new API key; prints its secret once
  key withdraw WORKSPACE NAME        plan the revocation of an API key
  datacentre leave|return NAME       plan a data centre's draining or return
  server drain|return SERVICE NAME   plan a backend server's draining or return
  cell release CELL                  release a cell's control lease; only if its
                                     holder and standbys are gone for good
  history                            the newest plans
  config check FILE                  check a configuration for the platform's
                                     table before it is written, without a
                                     network (docs/CONFIG-CHECK.md)

flags
  --control IP:PORT,...  control processes  (variable FOXTAILCTL_CONTROL;
                         default 127.0.0.1:8280)
  --cluster-secret TEXT  secret of the cluster; better set by the variable
                         FOXTAILCTL_CLUSTER_SECRET
  --timeout MS           timeout of a call and of --wait, 1 to 600000 ms
                         (variable FOXTAILCTL_TIMEOUT; default 10000)
  --json                 print JSON
  --format text|json     the same choice by name
  --against FILE         also show how the configuration differs from the one in
                         this file, the version in force (config check)
  --yes                  confirm the new plan at once
  --wait                 wait until the confirmed version is in force everywhere

examples
  foxtailctl apply rosario.json
  foxtailctl confirm p1764842400000-1a2b3c --wait
  foxtailctl --yes --wait datacentre leave tejo-2
  foxtailctl explain catalogue club-7
  foxtailctl config check next.json --against now.json

exit codes: 0 done, 1 failed, 2 wrong command line or setting, 3 plan stale,
4 not in force everywhere within the timeout, 5 control processes or platform
unavailable; of config check: 0 nothing found, 1 findings, 2 a file cannot be
read or checked
)";

std::string VariableOr(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value ? value : fallback;
}

std::chrono::milliseconds ParseTimeout(const std::string& text) {
  char* end = nullptr;
  const unsigned long value = std::strtoul(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || value < 1 || value > kMaxTimeoutMs) {
    throw Error(ErrorCode::kSettingInvalid,
                "--timeout = '" + text +
                    "'; allowed: a whole number from 1 to 600000 (ms)");
  }
  return std::chrono::milliseconds(value);
}

}  // namespace

bool ReadCtlSettings(int argc, const char* const* argv, CtlSettings& settings) {
  std::vector<std::string> format_names{"text", "json"};
  TCLAP::CmdLine line("", ' ', "", false);
  line.setExceptionHandling(false);
  TCLAP::SwitchArg help("h", "help", "help", line);
  TCLAP::SwitchArg json("", "json", "JSON", line);
  TCLAP::ValuesConstraint<std::string> formats(format_names);
  TCLAP::ValueArg<std::string> format("", "format", "format", false, "text",
                                      &formats, line);
  TCLAP::ValueArg<std::string> against("", "against", "version in force", false,
                                       "", "file", line);
  TCLAP::SwitchArg yes("", "yes", "confirm", line);
  TCLAP::SwitchArg wait("", "wait", "wait", line);
  TCLAP::ValueArg<std::string> control(
      "", "control", "control processes", false,
      VariableOr("FOXTAILCTL_CONTROL", "127.0.0.1:8280"), "IP:PORT,...", line);
  TCLAP::ValueArg<std::string> secret(
      "", "cluster-secret", "secret", false,
      VariableOr("FOXTAILCTL_CLUSTER_SECRET", ""), "text", line);
  TCLAP::ValueArg<std::string> timeout(
      "", "timeout", "timeout", false,
      VariableOr("FOXTAILCTL_TIMEOUT", "10000"), "ms", line);
  TCLAP::UnlabeledMultiArg<std::string> arguments("words", "verb and arguments",
                                                  false, "verb", line);
  try {
    line.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    throw Error(ErrorCode::kSettingInvalid,
                error.argId() + " " + error.error() +
                    "; allowed: the flags listed by --help");
  }
  if (help.getValue() || arguments.getValue().empty()) {
    std::cout << kHelp;
    return false;
  }
  settings.m_controls = ParseAddressList(control.getValue());
  settings.m_cluster_secret = secret.getValue();
  settings.m_json = json.getValue() || format.getValue() == "json";
  settings.m_against = against.getValue();
  settings.m_yes = yes.getValue();
  settings.m_wait = wait.getValue();
  settings.m_timeout = ParseTimeout(timeout.getValue());
  settings.m_arguments = arguments.getValue();
  return true;
}

}  // namespace foxtail
